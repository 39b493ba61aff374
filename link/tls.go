package link

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"amaranthstile/result"
)

// KeyFiles names the files that hold the keys of an instance.
type KeyFiles struct {
	// Certificate is the certificate of this instance, followed by the intermediate certificates; Key is its
	// private key. Both are in PEM.
	Certificate, Key string
	// Authorities holds the certificates of the certificate authorities that sign those of the instances, in PEM.
	Authorities string
	// Secrets holds the secrets that authenticate datagrams, one per line. The first one signs; all of them are
	// accepted.
	Secrets string
}

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// Keys holds the keys for the connections between instances. Both sides of a connection present a certificate, and
// each side checks that a certificate authority of the fleet signed the other one. Names in certificates are not
// compared, because instances are addressed by IP addresses, which change: every holder of a certificate that a
// certificate authority of the fleet signed belongs to the fleet.
//
// The keys can be reloaded while connections are open. Open connections continue; new ones use the new keys.
type Keys struct {
	files   KeyFiles
	current atomic.Pointer[keySet]
}

// keySet is the immutable content of the key files at one time.
type keySet struct {
	digest      [sha256.Size]byte
	certificate *tls.Certificate
	authorities *x509.CertPool
	secrets     []string
}

// LoadKeys reads the key files. The error carries KeysInvalid.
func LoadKeys(files KeyFiles) (*Keys, error) {
	k := &Keys{files: files}
	_, err := k.Reload()
	return k, err
}

// Reload reads the key files again and reports whether the keys changed. On an error, which carries KeysInvalid,
// the old keys stay in use.
func (k *Keys) Reload() (bool, error) {
	set, err := readKeySet(k.files)
	if err != nil {
		return false, err
	}
	old := k.current.Load()
	if old != nil && old.digest == set.digest {
		return false, nil
	}
	k.current.Store(set)
	return true, nil
}

// Secrets returns the secrets that authenticate datagrams.
func (k *Keys) Secrets() []string { return k.current.Load().secrets }

func readKeySet(f KeyFiles) (*keySet, error) {
	var parts [4][]byte
	for n, name := range []string{f.Certificate, f.Key, f.Authorities, f.Secrets} {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, result.Wrap(result.KeysInvalid, err, "tls")
		}
		parts[n] = data
	}
	pair, err := tls.X509KeyPair(parts[0], parts[1])
	if err != nil {
		return nil, result.Wrap(result.KeysInvalid, err, "tls.certificate and tls.key do not form a valid pair")
	}
	set := &keySet{digest: sha256.Sum256(bytes.Join(parts[:], []byte{0})), certificate: &pair, authorities: x509.NewCertPool()}
	if !set.authorities.AppendCertsFromPEM(parts[2]) {
		return nil, result.New(result.KeysInvalid, "tls.authorities contains no certificate")
	}
	if set.secrets, err = readSecrets(string(parts[3])); err != nil {
		return nil, err
	}
	return set, set.verifyOwnCertificate()
}

func readSecrets(text string) ([]string, error) {
	var out []string
	for _, line := range strings.Fields(text) {
		if len(line) < minSecretBytes {
			return nil, result.New(result.KeysInvalid, "tls.secrets: a secret is shorter than %d bytes", minSecretBytes)
		}
		out = append(out, line)
	}
	if len(out) == 0 {
		return nil, result.New(result.KeysInvalid, "tls.secrets contains no secret")
	}
	return out, nil
}

// verifyOwnCertificate checks the certificate of this instance as every other instance would, so that an invalid
// certificate is detected at once.
func (s *keySet) verifyOwnCertificate() error {
	chain := make([]*x509.Certificate, 0, len(s.certificate.Certificate))
	for _, der := range s.certificate.Certificate {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return result.Wrap(result.KeysInvalid, err, "tls.certificate")
		}
		chain = append(chain, c)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		if err := s.verify(chain, use); err != nil {
			return result.Wrap(result.KeysInvalid, err, "tls.certificate")
		}
	}
	return nil
}

// verify checks that a certificate authority of the fleet signed the certificate chain, and that the chain is valid
// now and for this use.
func (s *keySet) verify(chain []*x509.Certificate, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return result.New(result.LinkRefused, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         s.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	return err
}

// peerVerifier returns a function that verifies the certificate of the peer with the current keys. It is called for
// every connection, including resumed sessions.
func (k *Keys) peerVerifier(use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if err := k.current.Load().verify(c.PeerCertificates, use); err != nil {
			return result.Wrap(result.LinkRefused, err, "the certificate of the other side is not valid")
		}
		return nil
	}
}

// ServerConfig returns the TLS configuration of the server side.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current.Load().certificate, nil },
		VerifyConnection: k.peerVerifier(x509.ExtKeyUsageClientAuth),
	}
}

// sessionCacheSize is how many TLS sessions the client side caches to shorten later handshakes.
const sessionCacheSize = 256

// ClientConfig returns the TLS configuration of the client side.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // the default check compares names; VerifyConnection verifies the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.current.Load().certificate, nil },
		VerifyConnection:     k.peerVerifier(x509.ExtKeyUsageServerAuth),
		ClientSessionCache:   tls.NewLRUClientSessionCache(sessionCacheSize),
	}
}
