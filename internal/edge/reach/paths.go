package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// cutOffTargets is the number of targets that only peers must reach until this router counts as cut
	// off from all.
	cutOffTargets = 3
	// cutOffDelay is the time for which no direct connection must have been made until then. A router
	// that still reaches some targets makes one more often.
	cutOffDelay = time.Second
	// downTTL is how long attempts at a target that nobody reaches fail at once. A check that runs
	// meanwhile renews or ends it. It is longer than a request that tries several such targets takes, so that
	// the next request finds all of them recorded.
	downTTL = 2 * time.Second
	// soundMemory is how long a direct connection shows that this router reaches targets.
	soundMemory = time.Second
)

// route is the path that an attempt takes.
type route int

const (
	// routeDirect is the usual path; a peer is asked if it takes long.
	routeDirect route = iota
	// routeTunnel is the path through a peer.
	routeTunnel
	// routeNone fails the attempt: nobody reached the target a moment ago.
	routeNone
)

// paths records which targets this router reaches.
type paths struct {
	mu sync.Mutex
	// reachedAt is when a direct connection was made last, to any target.
	reachedAt time.Time
	// verified contains the targets to which a direct connection was made while others were lost.
	verified map[string]bool
	// lostAt contains the targets that only peers reach, with the time when that was found.
	lostAt map[string]time.Time
	// downAt contains the targets that nobody reached, with the time of the last attempt, until one is made again.
	downAt map[string]time.Time
	cutOff bool
	// watched is set while lost paths are tried at intervals, downWatched while targets that nobody reached are.
	watched     bool
	downWatched bool
}

func newPaths() *paths {
	return &paths{lostAt: map[string]time.Time{}, downAt: map[string]time.Time{}, verified: map[string]bool{}}
}

// route returns the path for an attempt at a target.
func (p *paths) route(addr string, now time.Time) route {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, down := p.downAt[addr]; down && now.Sub(at) < downTTL || p.nobodyReaches(now) {
		return routeNone
	}
	if _, lost := p.lostAt[addr]; lost || p.cutOff {
		return routeTunnel
	}
	return routeDirect
}

// nobodyReaches reports whether neither this router nor a peer reaches any target, as far as is known: some could not be
// reached, and no connection was made to any other since then, nor for some time. The caller holds the lock.
func (p *paths) nobodyReaches(now time.Time) bool {
	if len(p.downAt) < cutOffTargets || len(p.lostAt) > 0 || now.Sub(p.reachedAt) < cutOffDelay {
		return false
	}
	down := 0
	for _, at := range p.downAt {
		if now.Sub(at) < downTTL && at.After(p.reachedAt) {
			down++
		}
	}
	return down >= cutOffTargets
}

// reached records a direct connection. It returns whether this router was cut off until now, and whether nobody reached
// the target.
func (p *paths) reached(addr string, now time.Time) (wasCutOff, wasDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt = now
	_, wasDown = p.downAt[addr]
	delete(p.downAt, addr)
	delete(p.lostAt, addr)
	if len(p.lostAt) > 0 {
		p.verified[addr] = true
	} else {
		clear(p.verified)
	}
	wasCutOff = p.cutOff
	p.cutOff = false
	return wasCutOff, wasDown
}

// lost records a target that a peer reached and this router did not. It returns whether that is new, and
// whether lost paths have to be watched from now on.
func (p *paths) lost(addr string, now time.Time) (added, watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.downAt, addr)
	if _, known := p.lostAt[addr]; known {
		return false, false
	}
	p.lostAt[addr] = now
	delete(p.verified, addr)
	watch = !p.watched
	p.watched = true
	return true, watch
}

// watchEnds reports whether no path is lost any more, so that the watch ends.
func (p *paths) watchEnds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watched = len(p.lostAt) > 0
	return !p.watched
}

// becomesCutOff reports whether this router is cut off from now on, of all targets known to it.
func (p *paths) becomesCutOff(now time.Time, targets int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff || len(p.lostAt) < min(cutOffTargets, max(targets, 1)) || now.Sub(p.reachedAt) < cutOffDelay {
		return false
	}
	p.cutOff = true
	return true
}

// inDoubt reports whether open connections to a target that were made directly may be dead: a path was lost
// after the latest direct connection, or while others are lost none was made to this target.
func (p *paths) inDoubt(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.lostAt {
		if at.After(p.reachedAt) {
			return true
		}
	}
	return len(p.lostAt) > 0 && !p.verified[addr]
}

// sound reports whether this router reaches targets, as far as it knows: it has connected to one a moment ago
// and has lost none. A failure to connect then says something of the target.
func (p *paths) sound(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lostAt) == 0 && !p.cutOff && now.Sub(p.reachedAt) < soundMemory
}

// down records a target that nobody reached. It returns whether that is new, and whether such targets have to be watched
// from now on.
func (p *paths) down(addr string, now time.Time) (added, watch bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.downAt[addr]
	p.downAt[addr] = now
	watch = !p.downWatched
	p.downWatched = true
	return !known, watch
}

// downTargets returns the targets that nobody reached, without those that do not exist any more. Their watch ends if
// there are none.
func (p *paths) downTargets(existing []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for addr := range p.downAt {
		if !slices.Contains(existing, addr) {
			delete(p.downAt, addr)
			continue
		}
		out = append(out, addr)
	}
	p.downWatched = len(out) > 0
	return out
}

// isCutOff reports whether this router is cut off from all targets.
func (p *paths) isCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// anyLost reports whether there are targets that only peers reach.
func (p *paths) anyLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lostAt) > 0
}

// lostTargets returns the targets that only peers reach, without those that do not exist any more.
func (p *paths) lostTargets(existing []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for addr := range p.lostAt {
		if !slices.Contains(existing, addr) {
			delete(p.lostAt, addr)
			continue
		}
		out = append(out, addr)
	}
	return out
}
