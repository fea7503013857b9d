package reach

import "sync"

// lostThreshold is the number of targets that must fail, with none reached in between, until this
// router's paths count as lost.
const lostThreshold = 3

// pathChange is a change of the state of this router's paths.
type pathChange int

const (
	pathsUnchanged pathChange = iota
	pathsLost
	pathsRegained
)

// paths records which targets could not be reached since one was reached.
type paths struct {
	mu     sync.Mutex
	missed map[string]bool
	lost   bool
}

func newPaths() *paths { return &paths{missed: map[string]bool{}} }

// failed records a connection attempt that failed.
func (p *paths) failed(addr string) pathChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missed[addr] = true
	if p.lost || len(p.missed) < lostThreshold {
		return pathsUnchanged
	}
	p.lost = true
	return pathsLost
}

// reached records a connection to a target.
func (p *paths) reached() pathChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.missed)
	if !p.lost {
		return pathsUnchanged
	}
	p.lost = false
	return pathsRegained
}
