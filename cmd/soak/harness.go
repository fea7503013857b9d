package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"valescale/platform/fake"
)

// harness holds the store, the targets, the routers and the callers of one run.
type harness struct {
	options
	rng         *rand.Rand
	store       *fake.Store
	storeFaults *fake.Faults
	routers     []*router
	targets     []*target
	ledger      *ledger
	// version is the version of the latest configuration, extraID the number of the route that only it
	// has.
	version int
	extraID int
	// prober sends requests that show which configuration is in force.
	prober *caller
	// rollbacks is the number of times the store was restored from an older snapshot.
	rollbacks int
	// snapshots are snapshots of the store, the oldest first.
	snapshots []fake.Snapshot
	stop      chan struct{}
	callers   sync.WaitGroup
	servers   []*http.Server
	orders    *orders

	// operator is held by whoever writes configurations, or gives orders that a check of written ones must not meet.
	operator sync.Mutex
	// variation is what configurations vary in beside their routes, under the operator's lock.
	variation variation
	// stops is the number of orders to stop.
	stops atomic.Int64
	// changing is the number of callers that the second schedule has started.
	changing int
	// losing is the number of callers that ends of all routers have started.
	losing int
	// changesRng selects the faults of the second schedule.
	changesRng *rand.Rand

	mu sync.Mutex
	// cutOff contains the routers that are cut off from all targets.
	cutOff map[*router]bool
}

// router is the name and the addresses of one router.
type router struct {
	name    string
	callers string
	ready   string
	// source is the address from which the router connects to targets.
	source net.IP
}

// target is a fake target behind connections with fault injection.
type target struct {
	id      string
	service string
	addr    string
	// startedMs is the time of the target's last start, in Unix milliseconds.
	startedMs int64
	// state is the state that it announced last, empty after its row was removed.
	state string
	// version is the version that the target has.
	version version
	faults  *fake.Faults
	server  *http.Server
	handler *handler
	orders  *orders
	// listener is the one in use. It is replaced after a crash, under the harness's lock.
	listener *fake.Cuttable
	// down is set while the target has crashed, under the harness's lock.
	down bool
}

// Services and path prefixes of the configuration.
const (
	plainService  = "plain"
	engineService = "engine"
	// spareService has targets of its own, all of one version, and shares a route with plainService.
	spareService = "spare"
	oncePath     = "/once/"
	safePath     = "/safe/"
	streamPath   = "/stream/"
	resumePath   = "/resume/"
	// steadyPath is the path of resumable streams of spareService.
	steadyPath = "/steady/"
	extraPath  = "/extra/"
	splitPath  = "/split/"
	bigPath    = "/big/"
	uploadPath = "/upload/"
	// fatalPath is the path of requests that crash each target which executes them. Their bodies are
	// equal, so that all attempts count as the same request.
	fatalPath = "/safe/fatal"
	fatalBody = "fatal"
)

func newHarness(o options) (*harness, func(), error) {
	w := &harness{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: fake.NewStore(), ledger: newLedger(o.Targets), stop: make(chan struct{}),
		cutOff: map[*router]bool{}, orders: newOrders(), variation: usualVariation(),
		changesRng: rand.New(rand.NewPCG(o.Seed, changesStream)),
	}
	w.ledger.orders = w.orders
	w.prober = w.newCaller(o.Callers + 1)
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	w.storeFaults, _ = w.serve(fake.NewFaults(storeListener), w.store)
	for i := range 2*o.Targets + spareTargets {
		if err := w.addTarget(i); err != nil {
			return nil, nil, err
		}
	}
	w.writeNextConfig()
	if err := w.writeSettings(); err != nil {
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *harness) close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// serve serves on a listener with fault injection.
func (w *harness) serve(faults *fake.Faults, h http.Handler) (*fake.Faults, *http.Server) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(faults) }()
	return faults, server
}

// targetAddr returns the address of the run's targets, with any port. Connections have another source unless
// it is chosen, and most servers listen elsewhere, so that nothing takes the port of a target that is down.
func (w *harness) targetAddr() string { return fmt.Sprintf("127.0.2.%d:0", 1+w.Seed%250) }

func (w *harness) addTarget(i int) error {
	t := &target{id: fmt.Sprintf("i-%d", i), service: plainService, version: versions[0], orders: w.orders}
	switch {
	case i >= 2*w.Targets:
		t.service = spareService
	case i%2 == 1:
		t.service = engineService
		// Two versions are side by side from the beginning.
		t.version = versions[i/2%2]
	}
	handler := w.newHandler(t, uint64(i))
	listener, err := fake.ListenCuttable(w.targetAddr())
	if err != nil {
		return errors.WithStack(err)
	}
	t.listener = listener
	observed := fake.NewObservedFaults(listener, func(p []byte) { w.ledger.recordReceived(t, p) })
	faults, server := w.serve(observed, w.ledger.countArrivals(t, &fake.Target{ID: t.id, Work: handler.serve}))
	handler.crash = func() { w.crash(t) }
	handler.fallSilent = func() { w.fallSilent(t, w.silenceTime(handler.draw)) }
	t.handler = handler
	t.server = server
	t.faults, t.addr, t.startedMs = faults, faults.Addr().String(), time.Now().UnixMilli()
	w.targets = append(w.targets, t)
	w.announce(t, "ready")
	return nil
}

// restartDelay is the time until a target crashed by a fatal request starts again.
const restartDelay = 2 * time.Second

// crash closes a target with all its connections and starts it again after restartDelay. Its
// heartbeats in the store continue until then, since a crashed target's row expires only later.
func (w *harness) crash(t *target) {
	if !w.markDown(t, true) {
		return
	}
	// The restarted target listens on a new socket.
	w.closeServer(t)
	w.restartAfter(t, restartDelay)
}

// closeServer closes a target's server with all its connections.
func (w *harness) closeServer(t *target) {
	w.ledger.recordTargetEvent(t.id, crashEvent)
	_ = t.server.Close()
}

// setMode changes the mode of a target's connections.
func (w *harness) setMode(t *target, mode fake.Mode) {
	w.ledger.recordTargetEvent(t.id, modeEvents[mode])
	t.faults.Set(mode)
}

// drawTarget returns a random target of the services that all faults meet.
func (w *harness) drawTarget() *target { return w.targets[w.rng.IntN(2*w.Targets)] }

// restartAfter makes a target that is down listen again after a delay.
func (w *harness) restartAfter(t *target, delay time.Duration) {
	time.AfterFunc(delay, func() {
		l, err := w.relisten(t)
		if err != nil {
			w.ledger.addViolation("cannot restart target %s: %v", t.id, err)
			return
		}
		server := &http.Server{Handler: t.server.Handler, ReadHeaderTimeout: time.Minute}
		t.server = server
		w.ledger.recordRestart(t.id)
		go func() { _ = server.Serve(t.faults.Share(l)) }()
		w.markDown(t, false)
	})
}

// markDown records whether a target is down, and reports whether that changed.
func (w *harness) markDown(t *target, down bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := t.down != down
	t.down = down
	return changed
}

func (w *harness) announce(t *target, state string) {
	t.state = state
	t.handler.setState(t.version, state)
	fake.PutTarget(w.store, fake.TargetRow{
		ID: t.id, Service: t.service, Addr: t.addr, Zone: "a", State: state, Slots: targetSlots, StartedAtMs: t.startedMs,
		Version: string(t.version),
	})
}

func (w *harness) extraPrefix(n int) string { return fmt.Sprint(extraPath, n, "/") }

// writeSettings finds free ports for the routers and writes a settings file for each.
func (w *harness) writeSettings() error {
	var ports []string
	for range 3 * w.Routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.WithStack(err)
		}
		ports = append(ports, l.Addr().String())
		// After Close the port stays free until the router listens on it, unless the machine is
		// overloaded.
		defer func() { _ = l.Close() }()
	}
	seeds := []string{ports[2], ports[5]}
	for i := range w.Routers {
		own := ports[3*i : 3*i+3]
		r := &router{name: fmt.Sprint("r", i), callers: own[0], ready: own[1], source: net.IPv4(127, 0, 1, byte(i+1))}
		zone := string(rune('a' + i%2))
		text := fake.Settings(r.name, zone, own[0], own[1], own[2], w.storeFaults.Addr().String(), seeds)
		text += "Dial.SourceIp=" + r.source.String() + "\n"
		if err := os.WriteFile(filepath.Join(w.Dir, r.name+".conf"), []byte(text), 0o600); err != nil {
			return errors.WithStack(err)
		}
		w.routers = append(w.routers, r)
	}
	return nil
}
