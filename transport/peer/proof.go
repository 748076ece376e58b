package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/netip"
)

// hello opens a connection: the caller names its own peer listener and asks for a proof over its nonce.
type hello struct {
	Address netip.AddrPort `json:"address"`
	Nonce   []byte         `json:"nonce"`
}

// welcome answers hello: the server's proof, and the nonce that the caller must prove itself over.
type welcome struct {
	Nonce []byte `json:"nonce"`
	Proof []byte `json:"proof"`
}

// proof ends the handshake.
type proof struct {
	Proof []byte `json:"proof"`
}

// Roles keep a proof of one side from being sent back as a proof of the other.
const (
	roleServer = "server"
	roleCaller = "caller"
)

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// prove computes the HMAC-SHA256 of the role, both nonces and the caller's address under the key.
func prove(key []byte, role string, callerNonce, serverNonce []byte, address netip.AddrPort) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(role))
	_, _ = mac.Write(callerNonce)
	_, _ = mac.Write(serverNonce)
	_, _ = mac.Write([]byte(address.String()))
	return mac.Sum(nil)
}

// proven reports whether the proof was made with any of the keys.
func proven(keys [][]byte, given []byte, role string, callerNonce, serverNonce []byte, address netip.AddrPort) bool {
	for _, k := range keys {
		if hmac.Equal(given, prove(k, role, callerNonce, serverNonce, address)) {
			return true
		}
	}
	return false
}
