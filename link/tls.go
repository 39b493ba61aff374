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

// KeyFiles are the files that hold an instance's keys.
type KeyFiles struct {
	// Certificate and Key are this instance's certificate, with the intermediate ones after it, and its private
	// key, in PEM.
	Certificate, Key string
	// Authorities are the certificates that sign those of the fleet's instances, in PEM.
	Authorities string
	// Secrets holds the secrets for datagrams, one on a line; the first one signs and all are accepted.
	Secrets string
}

// minSecretBytes is the least length of a secret for datagrams.
const minSecretBytes = 16

// Keys holds the keys of the links between instances. Both sides of a link show a certificate, and either checks
// that the fleet's authorities signed the other's. Names in certificates are not compared, since instances
// go by IP numbers that change: whoever has a certificate of the fleet's authorities belongs to the fleet.
//
// The keys can be read anew while connections stand: these go on, and new ones use the new keys.
type Keys struct {
	files KeyFiles
	now   atomic.Pointer[keySet]
}

// keySet is one reading of the files; it does not change.
type keySet struct {
	digest      [sha256.Size]byte
	certificate *tls.Certificate
	authorities *x509.CertPool
	secrets     []string
}

// LoadKeys reads the files. The error carries KeysInvalid.
func LoadKeys(files KeyFiles) (*Keys, error) {
	k := &Keys{files: files}
	_, err := k.Reload()
	return k, err
}

// Reload reads the files again and reports whether there are new keys. On an error, which carries KeysInvalid, the
// old ones stay in use.
func (k *Keys) Reload() (bool, error) {
	set, err := readKeySet(k.files)
	if err != nil {
		return false, err
	}
	old := k.now.Load()
	if old != nil && old.digest == set.digest {
		return false, nil
	}
	k.now.Store(set)
	return true, nil
}

// Secrets returns the secrets for datagrams.
func (k *Keys) Secrets() []string { return k.now.Load().secrets }

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
		return nil, result.Wrap(result.KeysInvalid, err, "tls.certificate and tls.key")
	}
	set := &keySet{digest: sha256.Sum256(bytes.Join(parts[:], []byte{0})), certificate: &pair, authorities: x509.NewCertPool()}
	if !set.authorities.AppendCertsFromPEM(parts[2]) {
		return nil, result.New(result.KeysInvalid, "tls.authorities holds no certificate")
	}
	if set.secrets, err = readSecrets(string(parts[3])); err != nil {
		return nil, err
	}
	return set, set.checkOwn()
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
		return nil, result.New(result.KeysInvalid, "tls.secrets holds no secret")
	}
	return out, nil
}

// checkOwn finds out at once what every other instance would find: that the own certificate is not right.
func (s *keySet) checkOwn() error {
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

// verify checks a chain against the authorities, its times and its use.
func (s *keySet) verify(chain []*x509.Certificate, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return result.New(result.LinkRefused, "no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         s.authorities,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	return err
}

// verifier checks the other side of each connection, resumed ones too, by the keys of that moment.
func (k *Keys) verifier(use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if err := k.now.Load().verify(c.PeerCertificates, use); err != nil {
			return result.Wrap(result.LinkRefused, err, "certificate of the other side")
		}
		return nil
	}
}

// ServerConfig returns the configuration of the listening side.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.now.Load().certificate, nil },
		VerifyConnection: k.verifier(x509.ExtKeyUsageClientAuth),
	}
}

// resumedSessions is how many sessions the calling side keeps for a shorter handshake.
const resumedSessions = 256

// ClientConfig returns the configuration of the calling side.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // without names there is nothing for the standard check; VerifyConnection does it
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.now.Load().certificate, nil },
		VerifyConnection:     k.verifier(x509.ExtKeyUsageServerAuth),
		ClientSessionCache:   tls.NewLRUClientSessionCache(resumedSessions),
	}
}
