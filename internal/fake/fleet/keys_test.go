package fleet_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/fake/fleet"
	"valescale/internal/oper/conf"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peerpb"
)

// authority is a certificate authority that signs the certificates of routers and callers.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue("authority", nil, nil)
	return a
}

// issue creates a certificate and key, and writes both to files. Without a parent the certificate
// is a self-signed authority.
func (a *authority) issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".cert", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", raw)
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) listener(id ident.Router) conf.Listener {
	a.issue(string(id), a.cert, a.key)
	return conf.Listener{
		Cert: filepath.Join(a.dir, string(id)+".cert"), Key: filepath.Join(a.dir, string(id)+".key"),
		CA: filepath.Join(a.dir, "authority.cert"),
	}
}

// clientTLS returns the TLS configuration of a client with the given certificate, or without one if
// keys is nil.
func clientTLS(t *testing.T, keys *conf.Listener) *tls.Config {
	t.Helper()
	config := &tls.Config{InsecureSkipVerify: true}
	if keys != nil {
		pair, err := tls.LoadX509KeyPair(keys.Cert, keys.Key)
		if err != nil {
			t.Fatal(err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config
}

// gossip sends a digest in the name of a router, with the given certificate or without one if keys
// is nil, and returns the code of the error or zero.
func gossip(ctx context.Context, t *testing.T, addr string, keys *conf.Listener, from string) connect.Code {
	t.Helper()
	config := clientTLS(t, keys)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	transport := &http.Transport{TLSClientConfig: config, Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := peerpb.NewPeerServiceClient(&http.Client{Transport: transport}, "https://"+addr)
	_, err := client.Gossip(ctx, connect.NewRequest(&peerpb.Digest{From: from}))
	if err == nil {
		return 0
	}
	return connect.CodeOf(err)
}

func TestPeersRequireCertificates(t *testing.T) {
	a := newAuthority(t)
	b := start(t, fleet.Options{Routers: 2, Engines: 2, Keys: a.listener})
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true); !r.Correct("q", words) {
		t.Errorf("a chat over routers with TLS keys returned %+v", r)
	}
	addr := b.Routers[0].PeerAddr()
	own := a.listener("router-09")
	foreign := newAuthority(t).listener("router-09")
	if got := gossip(b.ctx, t, addr, &own, "router-09"); got != 0 {
		t.Errorf("a digest in the name of the certificate returned %v", got)
	}
	if got := gossip(b.ctx, t, addr, &own, "router-01"); got != connect.CodePermissionDenied {
		t.Errorf("a digest in the name of another router returned %v", got)
	}
	// The error of a failed handshake depends on which side detects it first.
	if got := gossip(b.ctx, t, addr, nil, "router-09"); got == 0 {
		t.Error("a digest without a certificate was accepted")
	}
	if got := gossip(b.ctx, t, addr, &foreign, "router-09"); got == 0 {
		t.Error("a digest with a certificate of another authority was accepted")
	}
}

// A caller can authenticate with a certificate instead of a token; the certificate names its
// workspace.
func TestCallersWithCertificates(t *testing.T) {
	a := newAuthority(t)
	b := start(t, fleet.Options{Routers: 1, Engines: 1, Plain: 1, CallerKeys: a.listener})
	b.apply(t, "certs", strings.Replace(configurationText(), "[workspace cali]", "[workspace cali]\ncerts = driver-7", 1))
	get := func(keys *conf.Listener) int {
		config := clientTLS(t, keys)
		transport := &http.Transport{TLSClientConfig: config}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("https://" + b.Routers[0].CallerAddr() + "/standings")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	driver, stranger := a.listener("driver-7"), a.listener("stranger")
	foreign := newAuthority(t).listener("driver-7")
	if got := get(&driver); got != http.StatusOK {
		t.Errorf("a request with the certificate of a workspace returned %d", got)
	}
	if got := get(&stranger); got != http.StatusUnauthorized {
		t.Errorf("a request with a certificate that names no workspace returned %d", got)
	}
	if got := get(nil); got != http.StatusUnauthorized {
		t.Errorf("a request without a certificate returned %d", got)
	}
	// The handshake can fail instead of a response with a status; the request must not be served.
	if got := get(&foreign); got == http.StatusOK {
		t.Error("a request with a certificate of another authority was served")
	}
}
