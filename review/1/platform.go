package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	lab "valescale/review/platform"
)

// memoryInterval is the interval at which the platform looks at the memory of a process.
const memoryInterval = 5 * time.Millisecond

// platform kills processes that are over the memory of their machine, and starts processes that have
// ended again.
type platform struct {
	scene   *lab.Scene
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	overRuns map[string]int
}

// newPlatform returns a platform that watches the routers of a scene.
func newPlatform(s *lab.Scene) *platform {
	p := &platform{scene: s, done: make(chan struct{}), overRuns: map[string]int{}}
	for _, r := range s.Fleet.Routers {
		p.overRuns[r.Name] = 0
		p.running.Go(func() { p.watch(r) })
	}
	return p
}

// stop ends the watch.
func (p *platform) stop() {
	close(p.done)
	p.running.Wait()
}

// ends returns how often the process of each machine was over its memory.
func (p *platform) ends() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for name, count := range p.overRuns {
		out[name] = count
	}
	return out
}

// watch looks at the memory of a router's process until the platform is stopped.
func (p *platform) watch(r *lab.Router) {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(memoryInterval):
		}
		used := residentMB(r.PID())
		if used <= ramMB {
			continue
		}
		p.mu.Lock()
		p.overRuns[r.Name]++
		p.mu.Unlock()
		p.scene.Printf("platform: the process of %s uses %d MB, more than %d, and is killed", r.Name, used, ramMB)
		_ = r.Signal(syscall.SIGKILL)
		r.Exit(time.Second)
		time.Sleep(restartDelay)
		if err := p.scene.Fleet.Start(r); err != nil {
			p.scene.Printf("could not start %s again: %v", r.Name, err)
			return
		}
		r.WaitReady(5 * time.Second)
	}
}

// residentMB returns the resident memory of a process in MB (of 2^20 bytes), or zero if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) >= 2 && string(fields[0]) == "VmRSS:" {
			kb, _ := strconv.Atoi(string(fields[1]))
			return kb / 1024
		}
	}
	return 0
}
