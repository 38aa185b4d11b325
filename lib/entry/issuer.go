package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// certificateValidity is how long issued certificates are valid.
const certificateValidity = 5 * 365 * 24 * time.Hour

// File names in the folder that IssueKeys fills.
const (
	AuthorityFile = "authority.pem"
	// CertificateSuffix follows the entry's name in a certificate's file name.
	CertificateSuffix = ".pem"
	// KeySuffix follows the entry's name in a key's file name.
	KeySuffix = ".key"
)

// IssueKeys creates an authority and one certificate per name in dir. The
// authority's private key is not stored, so adding an entry later requires a
// new set for all entries.
func IssueKeys(dir string, names []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate authority")
	}
	ca := template("radishweir authority", 1)
	ca.IsCA = true
	ca.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, key.Public(), key)
	if err != nil {
		return errors.Wrap(err, "create authority")
	}
	if err := writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", der); err != nil {
		return err
	}
	for i, n := range names {
		if err := issue(dir, n, int64(i+2), ca, key); err != nil {
			return errors.Wrapf(err, "issue %s", n)
		}
	}
	return nil
}

// issue writes the certificate and key of one entry.
func issue(dir, name string, serial int64, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	t := template(name, serial)
	t.DNSNames = []string{serverName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, key.Public(), caKey)
	if err != nil {
		return errors.Wrap(err, "create certificate")
	}
	if err := writePEM(filepath.Join(dir, name+CertificateSuffix), "CERTIFICATE", der); err != nil {
		return err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	return writePEM(filepath.Join(dir, name+KeySuffix), "EC PRIVATE KEY", raw)
}

func template(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateValidity),
		BasicConstraintsValid: true,
	}
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}
