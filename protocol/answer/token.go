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

// ErrInvalidToken reports a resume token that is malformed, forged or another workspace's.
var ErrInvalidToken = errors.New("resume token invalid")

// ErrTokenExpired reports a resume token whose deadline has passed.
var ErrTokenExpired = errors.New("resume token expired")

// Sizes of resume tokens.
const (
	minimumKeyBytes   = 32
	signatureBytes    = 16 // HMAC-SHA256, cut
	maximumTokenBytes = 1024
	bodyHashBytes     = 8
)

// ResumeToken is all that an instance needs to go on with an answer.
type ResumeToken struct {
	_             struct{}       `cbor:",toarray"`
	Answer        string         // id
	Entry         string         // catalogue entry
	Attempt       int            // number of the generation
	Endpoint      netip.AddrPort // engine that has the generation
	Origin        netip.AddrPort // peer listener of the instance that signed
	Delivered     int            // tokens that the caller has
	DeliveredHash uint64         // rolling hash of them
	Ended         bool           // the last token is among them
	Deadline      int64          // seconds since the epoch
	BodyHash      []byte         // first bytes of the SHA-256 of the request, for a replay
}

// Generation returns the engine's name of the generation.
func (t *ResumeToken) Generation() string { return generationName(t.Answer, t.Attempt) }

func generationName(id string, attempt int) string {
	return id + "." + strconv.Itoa(attempt)
}

// hashBody names a request's body in a token.
func hashBody(body []byte) []byte {
	hash := sha256.Sum256(body)
	return hash[:bodyHashBytes]
}

// Signer signs and checks resume tokens; it is safe for concurrent use.
type Signer struct {
	keys atomic.Pointer[signerKeys]
}

type signerKeys struct {
	current  []byte
	previous []byte
}

// NewSigner signs with the current key and accepts the previous one too, which may be empty; keys have 32 bytes or more.
func NewSigner(current, previous []byte) (*Signer, error) {
	s := &Signer{}
	if err := s.Rotate(current, previous); err != nil {
		return nil, err
	}
	return s, nil
}

// Rotate replaces both keys; after an error the former ones stay.
func (s *Signer) Rotate(current, previous []byte) error {
	if len(current) < minimumKeyBytes {
		return oops.Errorf("current resume key: %d bytes, needs %d", len(current), minimumKeyBytes)
	}
	if len(previous) > 0 && len(previous) < minimumKeyBytes {
		return oops.Errorf("previous resume key: %d bytes, needs %d", len(previous), minimumKeyBytes)
	}
	s.keys.Store(&signerKeys{current: current, previous: previous})
	return nil
}

// Sign returns the token as text, valid for the workspace only.
func (s *Signer) Sign(token *ResumeToken, workspace string) (string, error) {
	payload, err := cbor.Marshal(token)
	if err != nil {
		return "", oops.Wrapf(err, "sign resume token")
	}
	raw := append(signature(s.keys.Load().current, workspace, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Verify reads a token that was signed for the workspace and whose deadline has not passed.
func (s *Signer) Verify(text, workspace string, now time.Time) (*ResumeToken, error) {
	if len(text) > maximumTokenBytes {
		return nil, oops.Wrapf(ErrInvalidToken, "%d bytes", len(text))
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= signatureBytes {
		return nil, oops.Wrapf(ErrInvalidToken, "encoding")
	}
	mac, payload := raw[:signatureBytes], raw[signatureBytes:]
	if !s.validSignature(mac, workspace, payload) {
		return nil, oops.Wrapf(ErrInvalidToken, "signature")
	}
	token := &ResumeToken{}
	if err := cbor.Unmarshal(payload, token); err != nil {
		return nil, oops.Wrapf(ErrInvalidToken, "payload")
	}
	if token.Delivered < 0 || token.Attempt < 0 || !token.Endpoint.IsValid() {
		return nil, oops.Wrapf(ErrInvalidToken, "fields")
	}
	if !now.Before(time.Unix(token.Deadline, 0)) {
		return nil, ErrTokenExpired
	}
	return token, nil
}

func (s *Signer) validSignature(mac []byte, workspace string, payload []byte) bool {
	keys := s.keys.Load()
	if hmac.Equal(mac, signature(keys.current, workspace, payload)) {
		return true
	}
	return len(keys.previous) > 0 && hmac.Equal(mac, signature(keys.previous, workspace, payload))
}

// signature covers the workspace's name with its length, so that no two pairs look alike.
func signature(key []byte, workspace string, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(strconv.Itoa(len(workspace)) + ":" + workspace))
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:signatureBytes]
}
