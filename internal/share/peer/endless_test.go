package peer

import (
	"context"
	"net"
	"net/http"
	"runtime/metrics"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/share/peerpb"
)

// Guards against a router that keeps all that another one sends without end, until its box is out of memory.
func TestEndlessMessageIsNotKept(t *testing.T) {
	var sent atomic.Int64
	block := make([]byte, 64<<10)
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		for r.Context().Err() == nil {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: endless, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	clients, closeClients := NewClients(nil, &Meter{})
	t.Cleanup(closeClients)
	ctx, cancel := context.WithTimeout(t.Context(), DefaultPace.Call)
	defer cancel()
	before := heapBytes()
	var most atomic.Uint64
	go func() {
		for ctx.Err() == nil {
			most.Store(max(most.Load(), heapBytes()))
			<-time.After(heapInterval)
		}
	}()
	if _, err := clients.At(l.Addr().String()).Gossip(ctx, connect.NewRequest(&peerpb.Digest{})); err == nil {
		t.Error("a message without end was taken for one")
	}
	if grown := int64(most.Load()) - int64(before); grown > maxMessageHeap {
		t.Errorf("%d MB were kept of %d MB, want at most %d", grown>>20, sent.Load()>>20, maxMessageHeap>>20)
	}
}

const (
	// maxMessageHeap is the memory that a message may take while it is read: its buffer is copied as it grows, and the
	// copies are collected later.
	maxMessageHeap = 6 * MaxMessageBytes
	// heapInterval is the interval at which the heap is measured.
	heapInterval = 5 * time.Millisecond
)

// heapBytes returns the size of the objects on the heap, with those that are not collected yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
