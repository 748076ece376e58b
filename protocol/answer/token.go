package answer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// ErrInvalidToken reports a resume token that is malformed, forged or was issued for another workspace.
var ErrInvalidToken = errors.New("resume token invalid")

// ErrTokenExpired reports a resume token whose deadline has passed.
var ErrTokenExpired = errors.New("resume token expired")

// Sizes in bytes, of resume tokens, their parts and the keys that sign them.
const (
	minimumKeyBytes   = 32
	signatureBytes    = 16 // length to which the HMAC-SHA256 is truncated
	maximumTokenBytes = 1024
	bodyHashBytes     = 8
)

// ResumeToken contains all that an instance needs to resume an answer.
type ResumeToken struct {
	_             struct{}       `cbor:",toarray"`
	Answer        string         // answer id
	Entry         string         // name of the catalogue entry
	Attempt       int            // number of the generation
	Endpoint      netip.AddrPort // engine that runs the generation
	Origin        netip.AddrPort // peer listener of the instance that signed the token
	Delivered     int            // tokens that the caller has
	DeliveredHash uint64         // rolling hash of the delivered tokens
	Ended         bool           // the last token has been delivered
	Deadline      int64          // end of the token's validity, in seconds since the Unix epoch
	BodyHash      []byte         // first bytes of the SHA-256 of the request body, to verify the body before a replay
}

// Generation returns the name of the generation at the engine.
func (t *ResumeToken) Generation() string { return generationName(t.Answer, t.Attempt) }

// generationName returns the name of an answer's generation at engines.
func generationName(id string, attempt int) string {
	return id + "." + strconv.Itoa(attempt)
}

// hashBody returns the truncated SHA-256 of a request's body.
func hashBody(body []byte) []byte {
	hash := sha256.Sum256(body)
	return hash[:bodyHashBytes]
}

// Signer signs and verifies resume tokens; it is safe for concurrent use.
type Signer struct {
	keys atomic.Pointer[signerKeys]
}

// signerKeys are the keys of a signer; previous may be empty.
type signerKeys struct {
	current  []byte
	previous []byte
}

// NewSigner returns a signer that signs with the current key and also accepts signatures of the previous key, which may be empty.
// It returns an error if a key has fewer than 32 bytes.
func NewSigner(current, previous []byte) (*Signer, error) {
	s := &Signer{}
	if err := s.Rotate(current, previous); err != nil {
		return nil, err
	}
	return s, nil
}

// Rotate replaces both keys; after an error the existing keys stay in use.
func (s *Signer) Rotate(current, previous []byte) error {
	if len(current) < minimumKeyBytes {
		return oops.Errorf("current resume key has %d bytes, at least %d are required", len(current), minimumKeyBytes)
	}
	if len(previous) > 0 && len(previous) < minimumKeyBytes {
		return oops.Errorf("previous resume key has %d bytes, at least %d are required", len(previous), minimumKeyBytes)
	}
	s.keys.Store(&signerKeys{current: current, previous: previous})
	return nil
}

// Sign returns the signed token as text, which is valid only for the workspace.
func (s *Signer) Sign(token *ResumeToken, workspace string) (string, error) {
	payload, err := cbor.Marshal(token)
	if err != nil {
		return "", oops.Wrapf(err, "encode resume token")
	}
	raw := append(signature(s.keys.Load().current, workspace, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Verify decodes a token that was signed for the workspace. It returns ErrTokenExpired if the token's deadline has passed, and an
// error that wraps ErrInvalidToken if the token is invalid.
func (s *Signer) Verify(text, workspace string, now time.Time) (*ResumeToken, error) {
	if len(text) > maximumTokenBytes {
		return nil, oops.Wrapf(ErrInvalidToken, "token of %d bytes is too long", len(text))
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= signatureBytes {
		return nil, oops.Wrapf(ErrInvalidToken, "malformed encoding")
	}
	mac, payload := raw[:signatureBytes], raw[signatureBytes:]
	if !s.validSignature(mac, workspace, payload) {
		return nil, oops.Wrapf(ErrInvalidToken, "signature mismatch")
	}
	token := &ResumeToken{}
	if err := cbor.Unmarshal(payload, token); err != nil {
		return nil, oops.Wrapf(ErrInvalidToken, "malformed payload")
	}
	if token.Delivered < 0 || token.Attempt < 0 || !token.Endpoint.IsValid() {
		return nil, oops.Wrapf(ErrInvalidToken, "field value out of range")
	}
	if !now.Before(time.Unix(token.Deadline, 0)) {
		return nil, ErrTokenExpired
	}
	return token, nil
}

// validSignature reports whether the signature was made with one of the keys.
func (s *Signer) validSignature(mac []byte, workspace string, payload []byte) bool {
	keys := s.keys.Load()
	if hmac.Equal(mac, signature(keys.current, workspace, payload)) {
		return true
	}
	return len(keys.previous) > 0 && hmac.Equal(mac, signature(keys.previous, workspace, payload))
}

// signature returns the truncated HMAC of the workspace's name and the payload. The name is preceded by its length, so that no two
// different pairs have the same input.
func signature(key []byte, workspace string, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(strconv.Itoa(len(workspace)) + ":" + workspace))
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:signatureBytes]
}
