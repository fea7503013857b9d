package daemon

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
	"testing"
	"time"

	"valescale/internal/oper/conf"
)

// writePair writes a self-signed certificate with a common name, and its key, and sets the
// modification time of both files.
func writePair(t *testing.T, l conf.Listener, name string, at time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: at.AddDate(10, 0, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{
		l.Cert: {Type: "CERTIFICATE", Bytes: der}, l.Key: {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCertificateIsReloadedAfterItsFilesChange(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	l := conf.Listener{Cert: filepath.Join(t.TempDir(), "cert"), Key: filepath.Join(t.TempDir(), "key")}
	writePair(t, l, "old", now)
	c, err := loadCertificate(l, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	name := func() string {
		pair, err := c.current()
		if err != nil {
			t.Fatal(err)
		}
		return pair.Leaf.Subject.CommonName
	}
	writePair(t, l, "new", now.Add(time.Hour))
	if got := name(); got != "old" {
		t.Errorf("%q is in use before the check interval has passed, want the old certificate", got)
	}
	now = now.Add(certCheckInterval)
	if got := name(); got != "new" {
		t.Errorf("%q is in use after the files changed, want the new certificate", got)
	}
	if err := os.WriteFile(l.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * certCheckInterval)
	if got := name(); got != "new" {
		t.Errorf("%q is in use after the file became invalid, want the last valid certificate", got)
	}
}
