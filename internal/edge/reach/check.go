package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// pathCheckInterval is the interval at which a router tries a direct path that it has lost.
	pathCheckInterval = 300 * time.Millisecond
	// otherTargets is the number of other targets that are checked when one cannot be reached.
	otherTargets = 3
)

// checked contains the targets that are being checked.
type checked struct {
	mu    sync.Mutex
	addrs map[string]bool
}

// start reports whether a check of a target may start: none is under way.
func (c *checked) start(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addrs[addr] {
		return false
	}
	c.addrs[addr] = true
	return true
}

// end records the end of a check.
func (c *checked) end(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addrs, addr)
}

// Check connects to a target in the background, directly and through a peer, and records the result.
// It is called when the target is silent or was not reachable.
func (d *Dialer) Check(addr string) {
	if !d.running.start(addr) {
		return
	}
	go func() {
		defer d.running.end(addr)
		// The result is recorded with the paths.
		if c, err := d.startRace(d.ctx, addr, 0); err == nil {
			_ = c.Close()
		}
	}()
}

// checkOthers checks some targets besides one that only a peer reaches.
func (d *Dialer) checkOthers(addr string) {
	for _, other := range d.someOthers(addr) {
		d.Check(other)
	}
}

// tryOthers connects directly to some targets besides one, until an attempt succeeds. It asks no peers, which
// might ask others in turn, and does nothing while it runs already.
func (d *Dialer) tryOthers(addr string) {
	if !d.trying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.trying.Store(false)
		for _, other := range d.someOthers(addr) {
			if a := d.dialDirect(d.ctx, other); a.err == nil {
				_ = a.conn.Close()
				return
			}
		}
	}()
}

// someOthers returns some targets besides one, in random order.
func (d *Dialer) someOthers(addr string) []string {
	others := slices.DeleteFunc(d.Targets(), func(other string) bool { return other == addr })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(otherTargets, len(others))]
}

// watchLostPaths tries direct paths at intervals until all that were lost are back, or the dialer is
// closed.
func (d *Dialer) watchLostPaths() {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	for !d.paths.watchEnds() {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		d.tryLostPaths()
	}
}

// tryLostPaths connects directly to targets that could not be reached, in random order, until an attempt
// fails.
func (d *Dialer) tryLostPaths() {
	known := d.Targets()
	if d.paths.becomesCutOff(d.Clock(), len(known)) {
		d.changed(true)
	}
	lost := d.paths.lostTargets(known)
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, addr := range lost {
		a := d.dialDirect(d.ctx, addr)
		if a.err != nil {
			return
		}
		_ = a.conn.Close()
	}
}

// maxDownChecks is the number of targets that nobody reached and that are tried at once.
const maxDownChecks = 16

// watchDownTargets tries targets that nobody reached at intervals, until all are back or gone, or the dialer is closed.
// Requests do not try them, so that without it each would stay down for some time after it came back.
func (d *Dialer) watchDownTargets() {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		down := d.paths.downTargets(d.Targets())
		if len(down) == 0 {
			return
		}
		rand.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		d.tryAll(down[:min(maxDownChecks, len(down))])
	}
}

// tryAll connects directly to targets, all at once.
func (d *Dialer) tryAll(addrs []string) {
	var running sync.WaitGroup
	for _, addr := range addrs {
		running.Go(func() {
			if a := d.dialDirect(d.ctx, addr); a.err == nil {
				_ = a.conn.Close()
			}
		})
	}
	running.Wait()
}
