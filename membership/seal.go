package membership

import (
	"crypto/hmac"
	"crypto/sha256"

	"amaranthstile/result"
)

// sealBytes is the length of a datagram's authentication code.
const sealBytes = 16

// Authenticator authenticates datagrams with keys that the fleet shares. The first key seals; all of them open, so that
// keys can be exchanged one instance at a time. Without keys datagrams travel as they are.
type Authenticator struct {
	keys [][]byte
}

// NewAuthenticator derives the keys of the datagrams from the secrets.
func NewAuthenticator(secrets ...string) *Authenticator {
	s := &Authenticator{}
	for _, secret := range secrets {
		key := sha256.Sum256([]byte("amaranthstile membership datagram 1\x00" + secret))
		s.keys = append(s.keys, key[:])
	}
	return s
}

// Sign appends the authentication code to a datagram.
func (s *Authenticator) Sign(data []byte) []byte {
	if len(s.keys) == 0 {
		return data
	}
	return append(data, code(s.keys[0], data)...)
}

// Verify checks and removes the authentication code. The error carries LinkRefused.
func (s *Authenticator) Verify(data []byte) ([]byte, error) {
	if len(s.keys) == 0 {
		return data, nil
	}
	if len(data) < sealBytes {
		return nil, result.New(result.LinkRefused, "a datagram without an authentication code")
	}
	body, got := data[:len(data)-sealBytes], data[len(data)-sealBytes:]
	for _, key := range s.keys {
		if hmac.Equal(got, code(key, body)) {
			return body, nil
		}
	}
	return nil, result.New(result.LinkRefused, "a datagram with a wrong authentication code")
}

func code(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:sealBytes]
}
