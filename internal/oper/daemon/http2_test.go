package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/oper/conf"
	"valescale/internal/plat/memory"
)

// http2Setup is a server for callers over TLS.
type http2Setup struct {
	server  *callerServer
	roots   *x509.CertPool
	addr    string
	leaving atomic.Bool
}

// newHTTP2Setup returns a server that is closed at the end of the test.
func newHTTP2Setup(t *testing.T, listen func(net.Listener) net.Listener, handler http.Handler) *http2Setup {
	t.Helper()
	keys := httptest.NewTLSServer(nil)
	defer keys.Close()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http2Setup{addr: raw.Addr().String(), roots: x509.NewCertPool()}
	s.roots.AddCert(keys.Certificate())
	server, closeServer := newCallerServer(callerParts{
		listener: listen(raw), handler: handler, tls: &tls.Config{Certificates: keys.TLS.Certificates}, limits: conf.Default().Limits,
		leaving: s.leaving.Load, memory: memory.New(memory.MB, time.Now), logger: log.NewNopLogger(),
	})
	s.server = server
	var wg sync.WaitGroup
	server.serve(&wg)
	t.Cleanup(func() {
		_ = server.server.Close()
		wg.Wait()
		closeServer()
	})
	return s
}

// client returns a client with connections of its own.
func (s *http2Setup) client(t *testing.T) *http.Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.roots, ServerName: "example.com"}, ForceAttemptHTTP2: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// get returns the body of an answer with its protocol, or the error.
func (s *http2Setup) get(client *http.Client) string {
	resp, err := client.Get("https://" + s.addr)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return resp.Proto + " " + string(body)
}

// stop stops the server as a leaving router does, and returns a channel with the result.
func (s *http2Setup) stop() <-chan error {
	stopped := make(chan error, 1)
	s.leaving.Store(true)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		stopped <- s.server.stop(ctx)
	}()
	return stopped
}

// Guards against a planned stop that cuts HTTP/2 requests in flight.
func TestHTTP2RequestsInFlightAtAPlannedStopAreAnswered(t *testing.T) {
	const requests = 8
	began, release := make(chan struct{}, requests), make(chan struct{})
	s := newHTTP2Setup(t, func(l net.Listener) net.Listener { return l }, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "answer")
	}))
	client, answers := s.client(t), make(chan string, requests)
	for range requests {
		go func() { answers <- s.get(client) }()
	}
	for range requests {
		<-began
	}
	stopped := s.stop()
	<-time.After(100 * time.Millisecond)
	close(release)
	checkAnswers(t, answers, requests)
	if err := <-stopped; err != nil {
		t.Errorf("the stop took too long: %v", err)
	}
}

// Guards against a planned stop that resets callers with HTTP/2 that are not accepted yet.
func TestQueuedHTTP2CallersAreAnsweredInAPlannedStop(t *testing.T) {
	const callers = 8
	accept := make(chan struct{})
	s := newHTTP2Setup(t, func(l net.Listener) net.Listener {
		return &queuedListener{TCPListener: l.(*net.TCPListener), accept: accept}
	}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	answers, queued := make(chan string, callers), make(chan struct{}, callers)
	for range callers {
		client := s.client(t)
		client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			defer func() { queued <- struct{}{} }()
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		go func() { answers <- s.get(client) }()
	}
	for range callers {
		<-queued
	}
	stopped := s.stop()
	<-time.After(50 * time.Millisecond)
	close(accept)
	checkAnswers(t, answers, callers)
	if err := <-stopped; err != nil {
		t.Errorf("the stop took too long: %v", err)
	}
}

// checkAnswers checks that all requests are answered over HTTP/2.
func checkAnswers(t *testing.T, answers <-chan string, count int) {
	t.Helper()
	got := map[string]int{}
	for range count {
		got[<-answers]++
	}
	if diff := cmp.Diff(map[string]int{"HTTP/2.0 answer": count}, got); diff != "" {
		t.Error(diff)
	}
}
