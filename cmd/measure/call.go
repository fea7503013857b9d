package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"syscall"
	"time"

	"valescale/internal/share/peer"
	"valescale/internal/share/peerpb"
)

// serve serves a handler over HTTP/2 on a port chosen by the kernel, in clear text or with TLS, and
// returns a client for it.
func serve(meter *peer.Meter, path string, handler http.Handler, secure bool) (client peerpb.PeerServiceClient, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(secure)
	protocols.SetUnencryptedHTTP2(!secure)
	server := &http.Server{Handler: mux, Protocols: protocols, HTTP2: &http.HTTP2Config{MaxReadFrameSize: 16 << 10}}
	var config *tls.Config
	if secure {
		server.TLSConfig = &tls.Config{Certificates: []tls.Certificate{selfSignedCertificate()}}
		config = &tls.Config{InsecureSkipVerify: true}
		go func() { _ = server.ServeTLS(meter.Listener(l), "", "") }()
	} else {
		go func() { _ = server.Serve(meter.Listener(l)) }()
	}
	clients, closeClients := peer.NewClients(config, meter)
	return clients.At(l.Addr().String()), func() {
		closeClients()
		_ = server.Close()
	}
}

// selfSignedCertificate creates a certificate for this run.
func selfSignedCertificate() tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		panic(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	// warmUpCalls is the number of calls before the measured ones.
	warmUpCalls   = 50
	measuredCalls = 2000
)

// callCost is the cost of one call for client and server together.
type callCost struct {
	// bytes is the traffic on the connection, including the headers of IP and TCP.
	bytes float64
	// micros is the CPU time, in microseconds.
	micros float64
}

// measureCall repeats a call and returns the mean cost.
func measureCall(meter *peer.Meter, call func(i int)) callCost {
	for i := range warmUpCalls {
		call(i)
	}
	before, started := meter.Traffic().Total(), cpuTime()
	for i := range measuredCalls {
		call(warmUpCalls + i)
	}
	spent := cpuTime() - started
	return callCost{
		bytes:  float64(meter.Traffic().Total()-before) / measuredCalls,
		micros: float64(spent.Microseconds()) / measuredCalls,
	}
}
