package platform

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderID       = "X-Valescale-Request-Id"
	HeaderSig      = "X-Valescale-Replica-Sig"
	HeaderNotRun   = "X-Valescale-Not-Run"
	HeaderExpect   = "X-Valescale-Expect-Replica"
	HeaderDeadline = "X-Valescale-Deadline-Ms"
	HeaderWeights  = "X-Valescale-Weight-Versions"
)

// Run is one run of a request at a replica.
type Run struct {
	Replica string
	Request string
	Path    string
	Began   time.Time
	// Ended is when the answer was written in full without an error, or zero.
	Ended time.Time
}

// Work answers a request at a replica. It returns an error if it could not write all of its answer.
type Work func(w http.ResponseWriter, r *http.Request, body []byte) error

// Replica is a stand-in of a replica.
type Replica struct {
	ID   string
	addr string

	mu   sync.Mutex
	runs []*Run
}

// NewReplica returns a replica whose work answers requests, and a function that ends it.
func NewReplica(id string, work Work) (*Replica, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	rep := &Replica{ID: id, addr: l.Addr().String()}
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderID, r.Header.Get(HeaderID))
		w.Header().Set(HeaderWeights, "1")
		if r.Header.Get(HeaderExpect) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := rep.begin(r)
		w.Header().Set(HeaderSig, id+"."+run.Request)
		if err := work(w, r, body); err == nil {
			rep.end(run)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return rep, func() { _ = server.Close() }, nil
}

// Addr returns the replica's address.
func (r *Replica) Addr() string { return r.addr }

func (r *Replica) begin(req *http.Request) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{Replica: r.ID, Request: req.Header.Get(HeaderID), Path: req.URL.Path, Began: time.Now()}
	r.runs = append(r.runs, run)
	return run
}

func (r *Replica) end(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended = time.Now()
}

// Runs returns the runs so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}
