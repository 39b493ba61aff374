package membership

import (
	"crypto/hmac"
	"crypto/sha256"

	"amaranthstile/result"
)

// authenticationCodeBytes is the length of a datagram's authentication code.
const authenticationCodeBytes = 16

// Authenticator signs and verifies datagrams with keys that the fleet shares. It signs with the first key and accepts
// any of them, so that keys can be rotated one instance at a time. Without keys, datagrams are sent unsigned.
type Authenticator struct {
	keys [][]byte
}

// NewAuthenticator derives one key from each secret.
func NewAuthenticator(secrets ...string) *Authenticator {
	a := &Authenticator{}
	for _, secret := range secrets {
		key := sha256.Sum256([]byte("amaranthstile membership datagram 1\x00" + secret))
		a.keys = append(a.keys, key[:])
	}
	return a
}

// Sign appends the authentication code to a datagram.
func (a *Authenticator) Sign(data []byte) []byte {
	if len(a.keys) == 0 {
		return data
	}
	return append(data, authenticationCode(a.keys[0], data)...)
}

// Verify checks and removes the authentication code. The error carries LinkRefused.
func (a *Authenticator) Verify(data []byte) ([]byte, error) {
	if len(a.keys) == 0 {
		return data, nil
	}
	if len(data) < authenticationCodeBytes {
		return nil, result.New(result.LinkRefused, "datagram is too short for an authentication code")
	}
	body, got := data[:len(data)-authenticationCodeBytes], data[len(data)-authenticationCodeBytes:]
	for _, key := range a.keys {
		if hmac.Equal(got, authenticationCode(key, body)) {
			return body, nil
		}
	}
	return nil, result.New(result.LinkRefused, "datagram has a wrong authentication code")
}

// authenticationCode returns the truncated HMAC-SHA-256 of a datagram.
func authenticationCode(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:authenticationCodeBytes]
}
