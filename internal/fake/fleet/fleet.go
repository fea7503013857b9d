package fleet

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/fake/store"
	"valescale/internal/fake/target"
	"valescale/internal/oper/conf"
	"valescale/internal/oper/daemon"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
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
	// DrainDelay is the time for which a stopping router still accepts new requests.
	DrainDelay time.Duration
	// Fatal is a text that crashes each engine which receives a request that contains it; empty
	// disables crashes.
	Fatal string
}

// Engine is a fake engine of the fleet.
type Engine struct {
	*target.Engine
	ID   ident.Target
	Zone ident.Zone
	box  boxes.Box
	stop func()
	// crashed is set once a request has crashed the engine.
	crashed atomic.Bool
}

// Router is a router of the fleet.
type Router struct {
	*daemon.Daemon
	ID     ident.Router
	box    boxes.Box
	cancel context.CancelFunc
	done   chan struct{}
	// onLeave is called when the router begins to stop.
	onLeave func()
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
	addr, stop, err := serve(f.Store.Handler())
	if err != nil {
		return nil, nil, err
	}
	f.url = "http://" + addr
	f.stopFuncs = append(f.stopFuncs, stop)
	for i := range options.Engines {
		if err := f.addEngine(i); err != nil {
			f.Close()
			return nil, nil, err
		}
	}
	for i := range options.Plain {
		if err := f.addPlain(i); err != nil {
			f.Close()
			return nil, nil, err
		}
	}
	for i := range options.Routers {
		if _, err := f.AddRouter(i); err != nil {
			f.Close()
			return nil, nil, err
		}
	}
	return f, f.Close, nil
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

// serve serves a handler on a free port of the loopback interface.
func serve(handler http.Handler) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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

func (f *Fleet) addEngine(i int) error {
	options := f.options.Engine
	options.Name = ident.Target(fmt.Sprintf("engine-%02d", i))
	options.Incarnation = 1
	e := &Engine{Engine: target.NewEngine(options), ID: options.Name, Zone: f.zone(i)}
	addr, stop, err := serve(e.crashOnRequest(f.options.Fatal))
	if err != nil {
		return err
	}
	e.stop = stop
	e.box = boxes.Box{
		ID: string(e.ID), Role: boxes.TargetRole, Addr: addr, Service: "judge", Zone: e.Zone, Region: Region,
		State: boxes.Live, Incarnation: 1,
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	f.Engines = append(f.Engines, e)
	f.setBox(e.box)
	return nil
}

func (f *Fleet) addPlain(i int) error {
	p := target.NewPlain(f.options.PlainTime)
	addr, stop, err := serve(p.Handler())
	if err != nil {
		return err
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	f.Plain = append(f.Plain, p)
	f.setBox(boxes.Box{
		ID: fmt.Sprintf("board-%02d", i), Role: boxes.TargetRole, Addr: addr, Service: "board", Zone: f.zone(i),
		Region: Region, State: boxes.Live, Incarnation: 1,
	})
	return nil
}

// settings returns the settings of the router with index i.
func (f *Fleet) settings(i int) conf.Settings {
	key, _ := hex.DecodeString("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f")
	base := conf.Default()
	base.Router = conf.Router{ID: ident.Router(fmt.Sprintf("router-%02d", i)), Zone: f.zone(i), Region: Region}
	base.Callers.Addr, base.Peers.Addr, base.Admin.Addr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if f.options.Keys != nil {
		base.Peers = f.options.Keys(base.Router.ID)
		base.Peers.Addr = "127.0.0.1:0"
	}
	if f.options.CallerKeys != nil {
		base.Callers = f.options.CallerKeys(base.Router.ID)
		base.Callers.Addr = "127.0.0.1:0"
	}
	base.Platform.Table, base.Platform.Object, base.Platform.Boxes = f.url, f.url, f.url
	base.ResumeKeys = [][]byte{key}
	base.Operators = map[policy.TokenHash]string{policy.HashToken(OperatorToken): "ana"}
	base.Limits.DrainDelay = f.options.DrainDelay
	for _, r := range f.Routers {
		base.Router.Seeds = append(base.Router.Seeds, r.PeerAddr())
	}
	setIfPositive(&base.Pace.Gossip, f.options.Pace.Gossip)
	setIfPositive(&base.Pace.List, f.options.Pace.List)
	setIfPositive(&base.Pace.Head, f.options.Pace.Head)
	setIfPositive(&base.Pace.Report, f.options.Pace.Report)
	setIfPositive(&base.Pace.Lease, f.options.Pace.Lease)
	setIfPositive(&base.Pace.Permit, f.options.Pace.Permit)
	return base
}

func setIfPositive(field *time.Duration, value time.Duration) {
	if value > 0 {
		*field = value
	}
}

// AddRouter starts the router with index i and adds it to the platform's list of boxes.
func (f *Fleet) AddRouter(i int) (*Router, error) {
	settings := f.settings(i)
	logger := log.NewNopLogger()
	if f.options.Log != nil {
		logger = telem.NewLogger(f.options.Log, "info", settings.Router.ID)
	}
	d, closeDaemon, err := daemon.New(settings, logger, time.Now)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{Daemon: d, ID: settings.Router.ID, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = d.Run(ctx)
		closeDaemon()
	}()
	r.box = boxes.Box{
		ID: string(r.ID), Role: boxes.RouterRole, Addr: d.PeerAddr(), Zone: settings.Router.Zone, Region: Region, State: boxes.Live,
	}
	f.Routers = append(f.Routers, r)
	f.setBox(r.box)
	return r, nil
}

// Kill stops a router at once, as a crash would: it does not notify its peers.
func (r *Router) Kill() { r.Daemon.Kill() }

// OnLeave sets a callback that runs once the router has begun to stop. It takes the role of a load
// balancer that checks the router's readiness.
func (r *Router) OnLeave(callback func()) { r.onLeave = callback }

// Stop shuts a router down gracefully and waits until it has stopped.
func (r *Router) Stop() {
	r.cancel()
	if r.onLeave != nil {
		r.onLeave()
	}
	<-r.done
}

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

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.box.Addr }

// crashOnRequest returns the engine's handler; a request that contains the given text crashes the
// engine. Without a text the handler never does so.
func (e *Engine) crashOnRequest(crashText string) http.Handler {
	next := e.Handler()
	if crashText == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && bytes.Contains(body, []byte(crashText)) {
			e.crashed.Store(true)
			e.Kill()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Crashed reports whether a request has crashed the engine.
func (e *Engine) Crashed() bool { return e.crashed.Load() }

// Kill stops an engine at once and closes all its connections.
func (e *Engine) Kill() { e.stop() }

// AwaitReady waits until all routers are ready and have at least the given revision in force.
func (f *Fleet) AwaitReady(ctx context.Context, revision ident.Revision) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := true
		for _, r := range f.Routers {
			ready = ready && r.Ready() && r.Revision() >= revision
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
