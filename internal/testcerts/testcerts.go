// Package testcerts creates certificate authorities and certificates for test fleets and tests. Production fleets get
// theirs from elsewhere.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Secret is the secret for datagrams in the files that Write writes.
const Secret = "secret-of-a-trial-fleet"

// Authority is a certificate authority that signs the certificates of a fleet.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// New creates an authority with a new key.
func New() (*Authority, error) {
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	key, der, err := sign(nil, template, time.Hour)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, nil
}

// PEM returns the authority's own certificate in PEM.
func (a *Authority) PEM() []byte { return a.pem }

// Files are the paths of the files with an instance's keys and certificates.
type Files struct{ Certificate, Key, Authorities, Secrets string }

// FilesIn returns the paths of an instance's files in the directory dir.
func FilesIn(dir string) Files {
	return Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
		Secrets:     filepath.Join(dir, "secrets"),
	}
}

// Write creates a certificate that expires after lifetime, and writes the files of an instance that trusts this
// authority. Without uses, the certificate is valid for both sides of a link.
func (a *Authority) Write(f Files, lifetime time.Duration, uses ...x509.ExtKeyUsage) error {
	if len(uses) == 0 {
		uses = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	}
	key, der, err := sign(a, &x509.Certificate{ExtKeyUsage: uses}, lifetime)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	for _, file := range []struct {
		name string
		data []byte
	}{
		{f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})},
		{f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})},
		{f.Authorities, a.pem},
		{f.Secrets, []byte(Secret + "\n")},
	} {
		if err := os.WriteFile(file.name, file.data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

const serialBits = 62 // of a certificate's random serial number

// sign creates a key and a certificate from template. With a nil authority the certificate is self-signed.
func sign(a *Authority, template *x509.Certificate, lifetime time.Duration) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, err
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-24*time.Hour), time.Now().Add(lifetime)
	parent, signer := template, key
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	return key, der, err
}
