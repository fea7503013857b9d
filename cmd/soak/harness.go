package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"valescale/platform/fake"
)

// world is the store, the targets, the routers and the callers of one run.
type world struct {
	options
	rng     *rand.Rand
	store   *fake.Store
	storeAt *fake.Faults
	routers []*router
	targets []*target
	ledger  *ledger
	// version is the latest configuration's, extra the number of the route that only it has.
	version int
	extra   int
	// prober sends the requests that show what configuration is in force.
	prober *caller
	// setbacks counts how often the store came back from an older copy.
	setbacks int
	// copies are of the store, the oldest first.
	copies  []fake.Copy
	stop    chan struct{}
	callers sync.WaitGroup
	servers []*http.Server
}

// router is one router as the soak sees it.
type router struct {
	name    string
	callers string
	ready   string
}

// target is one stand-in target behind connections that can be harmed.
type target struct {
	id      string
	service string
	addr    string
	// born is when the target started last, in Unix milliseconds.
	born int64
	// state is what it announced last, empty once it has taken its row away.
	state  string
	faults *fake.Faults
	server *http.Server
	work   *work
}

// Services and paths of the configuration.
const (
	plainService  = "plain"
	engineService = "engine"
	oncePath      = "/once/"
	safePath      = "/safe/"
	streamPath    = "/stream/"
	resumePath    = "/resume/"
	extraPath     = "/extra/"
	// fatalPath is of requests that end each target which runs them. Their bodies are alike, so that all
	// tries are of one request.
	fatalPath = "/safe/fatal"
	fatalBody = "fatal"
)

func newWorld(o options) (*world, func(), error) {
	w := &world{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: fake.NewStore(), ledger: newLedger(), stop: make(chan struct{}),
	}
	w.prober = w.newCaller(o.Callers + 1)
	var err error
	if w.storeAt, _, err = w.serve(w.store); err != nil {
		return nil, nil, err
	}
	for i := range 2 * o.Targets {
		if err := w.addTarget(i); err != nil {
			return nil, nil, err
		}
	}
	w.configure()
	if err := w.writeSettings(); err != nil {
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *world) close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// serve serves on a port of the kernel's choice, behind connections that can be harmed.
func (w *world) serve(h http.Handler) (*fake.Faults, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	faults := fake.NewFaults(l)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(faults) }()
	return faults, server, nil
}

func (w *world) addTarget(i int) error {
	t := &target{id: fmt.Sprintf("i-%d", i), service: plainService}
	if i%2 == 1 {
		t.service = engineService
	}
	work := w.newWork(t, uint64(i))
	faults, server, err := w.serve(&fake.Target{ID: t.id, Work: work.serve})
	if err != nil {
		return err
	}
	work.end = func() { w.end(t) }
	t.work = work
	t.server = server
	t.faults, t.addr, t.born = faults, faults.Addr().String(), time.Now().UnixMilli()
	w.targets = append(w.targets, t)
	w.announce(t, "ready")
	return nil
}

// downTime is how long a target is gone that a fatal request has ended.
const downTime = 2 * time.Second

// end takes a target's process away, with all its connections, and has it start again later. Its
// heartbeats go on in the store, as those of a target that says nothing do for a while.
func (w *world) end(t *target) {
	// It listens on another socket once it is back; one that is closed already is as gone.
	_ = t.server.Close()
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp", t.addr)
		if err != nil {
			w.ledger.report("target %s cannot start again: %v", t.id, err)
			return
		}
		server := &http.Server{Handler: t.server.Handler, ReadHeaderTimeout: time.Minute}
		t.server = server
		go func() { _ = server.Serve(t.faults.Again(l)) }()
	})
}

func (w *world) announce(t *target, state string) {
	t.state = state
	fake.Announce(w.store, fake.Announcement{
		ID: t.id, Service: t.service, Addr: t.addr, Zone: "a", State: state, Slots: 16, Born: t.born,
	})
}

func (w *world) extraRoute(n int) string { return fmt.Sprint(extraPath, n, "/") }

// writeSettings writes a settings file for each router and finds free ports for them.
func (w *world) writeSettings() error {
	var ports []string
	for range 3 * w.Routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.WithStack(err)
		}
		ports = append(ports, l.Addr().String())
		// The port stays free long enough on a machine that is not full.
		defer func() { _ = l.Close() }()
	}
	seeds := []string{ports[2], ports[5]}
	for i := range w.Routers {
		own := ports[3*i : 3*i+3]
		r := &router{name: fmt.Sprint("r", i), callers: own[0], ready: own[1]}
		zone := string(rune('a' + i%2))
		text := fake.Settings(r.name, zone, own[0], own[1], own[2], w.storeAt.Addr().String(), seeds)
		if err := os.WriteFile(filepath.Join(w.Dir, r.name+".conf"), []byte(text), 0o600); err != nil {
			return errors.WithStack(err)
		}
		w.routers = append(w.routers, r)
	}
	return nil
}

// order tells bench/soak what to do with a router's process.
func order(verb string, r *router) { fmt.Println(verb, r.name) }
