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

// reloadEvery is how old a certificate read from its files may be.
const reloadEvery = 10 * time.Second

// certificate reads a key pair anew after its files have changed.
type certificate struct {
	cert, key string
	clock     ident.Clock
	mu        sync.Mutex
	pair      *tls.Certificate
	read      time.Time
	changed   time.Time
}

func loadCertificate(l conf.Listener, clock ident.Clock) (*certificate, error) {
	c := &certificate{cert: l.Cert, key: l.Key, clock: clock}
	_, err := c.current()
	return c, err
}

// current returns the pair; one that can no longer be read stays in use.
func (c *certificate) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if c.pair != nil && now.Sub(c.read) < reloadEvery {
		return c.pair, nil
	}
	c.read = now
	info, err := os.Stat(c.cert)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.changed) {
		return c.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, fault.New("daemon.certificate", Keys, err)
	}
	c.pair = &pair
	if info != nil {
		c.changed = info.ModTime()
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
		return nil, fault.New("daemon.loadCA", Keys, errors.Errorf("%s holds no certificate", path))
	}
	return pool, nil
}

// serverConfig returns the TLS side of a listener, nil for clear text.
func serverConfig(l conf.Listener, mustShow bool) (*tls.Config, error) {
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
	if mustShow {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// peerConfig returns the TLS side of calls to other routers, nil for clear text.
// Routers are called by IP number, so the authority's signature is what counts.
func peerConfig(l conf.Listener) (*tls.Config, error) {
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
		// The name is an IP number that certificates of replaced boxes do not have;
		// the chain is checked below all the same.
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

type callerKey struct{}

// callerOf returns the router that a call comes from, as its certificate names it,
// or the empty id on a connection without keys.
func callerOf(ctx context.Context) ident.Router {
	id, _ := ctx.Value(callerKey{}).(ident.Router)
	return id
}

// checkPeer notes whose certificate a call comes under; what speaks for another
// router than that is refused where it is read.
func checkPeer(withTLS bool, next http.Handler) http.Handler {
	if !withTLS {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 || r.TLS.PeerCertificates[0].Subject.CommonName == "" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		id := ident.Router(r.TLS.PeerCertificates[0].Subject.CommonName)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, id)))
	})
}

var _ peerpb.PeerServiceHandler = (*peerService)(nil)
