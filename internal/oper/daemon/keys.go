package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/oper/conf"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/share/peerpb"
)

// certCheckInterval is the minimum time between two checks of a certificate's files for changes.
const certCheckInterval = 10 * time.Second

// certificate is a key pair that is reloaded after its files have changed.
type certificate struct {
	certPath, keyPath string
	clock             ident.Clock
	mu                sync.Mutex
	pair              *tls.Certificate
	checkedAt         time.Time
	modTime           time.Time
}

func loadCertificate(l conf.Listener, clock ident.Clock) (*certificate, error) {
	c := &certificate{certPath: l.Cert, keyPath: l.Key, clock: clock}
	_, err := c.current()
	return c, err
}

// current returns the key pair. If the files can no longer be read, the last valid pair
// stays in use.
func (c *certificate) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if c.pair != nil && now.Sub(c.checkedAt) < certCheckInterval {
		return c.pair, nil
	}
	c.checkedAt = now
	info, err := os.Stat(c.certPath)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.modTime) {
		return c.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certPath, c.keyPath)
	if err != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, fault.New("daemon.certificate", Keys, err)
	}
	c.pair = &pair
	if info != nil {
		c.modTime = info.ModTime()
	}
	return c.pair, nil
}

func loadCA(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New("daemon.loadCA", Keys, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New("daemon.loadCA", Keys, errors.Errorf("%s contains no certificate", path))
	}
	return pool, nil
}

// serverTLSConfig returns the TLS configuration of a listener, or nil for clear text.
func serverTLSConfig(l conf.Listener, requireClientCert bool) (*tls.Config, error) {
	if l.Cert == "" {
		return nil, nil
	}
	pair, err := loadCertificate(l, time.Now)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.current() },
	}
	if l.CA == "" {
		return config, nil
	}
	if config.ClientCAs, err = loadCA(l.CA); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	if requireClientCert {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// peerTLSConfig returns the TLS configuration of calls to other routers, or nil for clear
// text. Routers are called by IP address, so a certificate is verified by the signature of
// the authority and not by its host name.
func peerTLSConfig(l conf.Listener) (*tls.Config, error) {
	if l.Cert == "" {
		return nil, nil
	}
	pair, err := loadCertificate(l, time.Now)
	if err != nil {
		return nil, err
	}
	roots, err := loadCA(l.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Host name verification would fail: the name is an IP address, which the certificate
		// of a replaced box does not contain. VerifyConnection verifies the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
			if len(state.PeerCertificates) == 0 {
				return fault.New("daemon.peer", Keys, nil)
			}
			for _, c := range state.PeerCertificates[1:] {
				options.Intermediates.AddCert(c)
			}
			_, err := state.PeerCertificates[0].Verify(options)
			return err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.current() },
	}, nil
}

type peerKey struct{}

// authenticatedPeer returns the id of the calling router from its certificate, or the empty
// id on a connection without TLS.
func authenticatedPeer(ctx context.Context) ident.Router {
	id, _ := ctx.Value(peerKey{}).(ident.Router)
	return id
}

// authenticatePeer adds the router named by the client certificate to the request's context.
// The handlers reject messages sent in the name of another router.
func authenticatePeer(withTLS bool, next http.Handler) http.Handler {
	if !withTLS {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 || r.TLS.PeerCertificates[0].Subject.CommonName == "" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		id := ident.Router(r.TLS.PeerCertificates[0].Subject.CommonName)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerKey{}, id)))
	})
}

var _ peerpb.PeerServiceHandler = (*peerService)(nil)
