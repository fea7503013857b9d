package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"valescale/internal/fake/store"
	"valescale/internal/fake/target"
	"valescale/internal/oper/conf"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
)

// Region is the region of all routers and targets.
const Region ident.Region = "co-central"

// Zones are the availability zones of the fleet; routers and targets are spread over them in turn.
var Zones = []ident.Zone{"zone-a", "zone-b", "zone-c"}

// OperatorToken is the token with which the operator authenticates.
const OperatorToken = "operator-token"

// Options configure a fleet.
type Options struct {
	Routers int
	Engines int
	Plain   int
	Engine  target.EngineOptions
	// PlainTime is the duration of a request to a plain service.
	PlainTime time.Duration
	Log       io.Writer
	// Pace overrides the intervals of the routers' background work; zero fields keep the default.
	Pace conf.Pace
	// Keys returns the TLS keys that a router uses between routers; nil means clear text.
	Keys func(ident.Router) conf.Listener
	// CallerKeys returns the TLS keys that a router uses towards callers; nil means clear text.
	CallerKeys func(ident.Router) conf.Listener
	// PeerAddr returns the address at which a router listens for other routers, and the one under which they reach
	// it; nil means a free port of the loopback interface.
	PeerAddr func(ident.Router) (listen, advertise string)
	// DrainDelay is the time for which a stopping router still accepts new requests.
	DrainDelay time.Duration
	// DrainTime is the time for which it waits for requests in flight; zero means the default.
	DrainTime time.Duration
	// Fatal is a text that crashes each engine which receives a request that contains it; empty
	// disables crashes.
	Fatal string
}

// Fleet is a running fleet.
type Fleet struct {
	Store     *store.Store
	Engines   []*Engine
	Plain     []*target.Plain
	Routers   []*Router
	options   Options
	url       string
	mu        sync.Mutex
	boxList   []boxes.Box
	stopFuncs []func()
}

// New starts a fleet and returns it with the function that closes it.
func New(options Options) (*Fleet, func(), error) {
	f := &Fleet{Store: store.New(), options: options}
	if err := f.start(); err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, f.Close, nil
}

// start starts the platform, the targets and the routers.
func (f *Fleet) start() error {
	addr, err := f.serve(f.Store.Handler())
	if err != nil {
		return err
	}
	f.url = "http://" + addr
	for i := range f.options.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.options.Plain {
		if err := f.addPlain(i); err != nil {
			return err
		}
	}
	for i := range f.options.Routers {
		if _, err := f.AddRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the routers, and then the targets and the platform.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.cancel()
	}
	for _, r := range f.Routers {
		<-r.done
	}
	for i := len(f.stopFuncs) - 1; i >= 0; i-- {
		f.stopFuncs[i]()
	}
	f.stopFuncs = nil
}

// loopback is an address with a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// serve serves a handler on a free port of the loopback interface until the fleet is closed.
func (f *Fleet) serve(handler http.Handler) (addr string, err error) {
	addr, stop, err := serve(handler)
	if err != nil {
		return "", err
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	return addr, nil
}

// serve serves a handler on a free port of the loopback interface.
func serve(handler http.Handler) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", nil, err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: handler, ErrorLog: discardLog, Protocols: protocols}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

func (f *Fleet) zone(i int) ident.Zone { return Zones[i%len(Zones)] }

// setBox adds a box to the platform's list, or replaces the entry with the same id.
func (f *Fleet) setBox(b boxes.Box) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.boxList {
		if f.boxList[i].ID == b.ID {
			f.boxList[i] = b
			f.Store.SetBoxes(f.boxList)
			return
		}
	}
	f.boxList = append(f.boxList, b)
	f.Store.SetBoxes(f.boxList)
}

// Unlist removes a box from the platform's list.
func (f *Fleet) Unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := f.boxList[:0]
	for _, b := range f.boxList {
		if b.ID != id {
			remaining = append(remaining, b)
		}
	}
	f.boxList = remaining
	f.Store.SetBoxes(f.boxList)
}

// readyPollInterval is the interval at which AwaitReady checks the routers.
const readyPollInterval = 5 * time.Millisecond

// AwaitReady waits until all routers are ready and have at least the given revision in force.
func (f *Fleet) AwaitReady(ctx context.Context, revision ident.Revision) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		behind := func(r *Router) bool { return !r.Ready() || r.Revision() < revision }
		if !slices.ContainsFunc(f.Routers, behind) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
