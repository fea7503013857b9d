package fleet

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/oper/conf"
	"valescale/internal/oper/daemon"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
)

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

// settings returns the settings of the router with index i.
func (f *Fleet) settings(i int) conf.Settings {
	base := conf.Default()
	base.Router = conf.Router{ID: ident.Router(fmt.Sprintf("router-%02d", i)), Zone: f.zone(i), Region: Region}
	if f.options.Keys != nil {
		base.Peers = f.options.Keys(base.Router.ID)
	}
	if f.options.CallerKeys != nil {
		base.Callers = f.options.CallerKeys(base.Router.ID)
	}
	base.Callers.Addr, base.Peers.Addr, base.Admin.Addr = loopback, loopback, loopback
	if f.options.PeerAddr != nil {
		base.Peers.Addr, base.Peers.Advertise = f.options.PeerAddr(base.Router.ID)
	}
	base.Platform.Table, base.Platform.Object, base.Platform.Boxes = f.url, f.url, f.url
	base.ResumeKeys = [][]byte{resumeKey()}
	base.Operators = map[policy.TokenHash]string{policy.HashToken(OperatorToken): "ana"}
	base.Limits.DrainDelay = f.options.DrainDelay
	base.Limits.DrainTime = cmp.Or(f.options.DrainTime, base.Limits.DrainTime)
	for _, r := range f.Routers {
		base.Router.Seeds = append(base.Router.Seeds, r.PeerAddr())
	}
	base.Pace = overridePace(base.Pace, f.options.Pace)
	return base
}

// resumeKey returns the key with which the routers seal the ids of stream events: 32 bytes that count
// up from zero.
func resumeKey() []byte {
	key := make([]byte, 32)
	for i := range key {
		key[i] = byte(i)
	}
	return key
}

// overridePace replaces the intervals that are set in a second set.
func overridePace(pace, by conf.Pace) conf.Pace {
	pace.Gossip = cmp.Or(by.Gossip, pace.Gossip)
	pace.List = cmp.Or(by.List, pace.List)
	pace.Head = cmp.Or(by.Head, pace.Head)
	pace.Report = cmp.Or(by.Report, pace.Report)
	pace.Lease = cmp.Or(by.Lease, pace.Lease)
	pace.Permit = cmp.Or(by.Permit, pace.Permit)
	return pace
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
