package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

const (
	// hupRouters is the number of machines. The settings of hupMachines of them change, in hupRounds rolling restarts:
	// half of the machines, where the pages have three fifths.
	hupRouters, hupMachines, hupRounds = 4, 2, 12
	// hupWithin is the time after a start within which the settings file changes again.
	hupWithin = 10 * time.Millisecond
	// restartDelay is the delay after which the platform starts a process again that ended by itself.
	restartDelay = 300 * time.Millisecond
	// faultEnds is how often each of hupMachines, which are more than a tenth of the machines and two at least, must end
	// by itself for the rule to be broken.
	faultEnds = 3
)

// hupAtStart plays rolling restarts with new settings, in which the settings change once more as a process starts.
func hupAtStart(rec *record, trouble bool) error {
	f, end, err := newFleet(hupRouters, true)
	if err != nil {
		return err
	}
	defer end()
	f.configure(1, []routeSpec{{
		Name: "board-page", Host: hostName, Prefix: "/puxa403/", Type: "mutating", Service: "tablero-app", TimeoutMs: 3000, SloMs: 300, Attempts: 1,
	}}, []map[string]any{{"Name": "tablero-app", "MaxConns": 110, "HealthPath": "/healthz"}})
	rep := &replica{id: "i-7f3a91c2", service: "tablero-app", zone: zones[0], slots: 6, queue: 6}
	if err := rep.start(f.store); err != nil {
		return err
	}
	defer rep.stop()
	if err := f.startAll(); err != nil {
		return err
	}
	ends := map[string]int{}
	for round := range hupRounds {
		for i, r := range f.routers[:hupMachines] {
			r.signal(syscall.SIGTERM)
			<-r.ended
			if err := f.change(r, i, round); err != nil {
				return err
			}
			if err := f.start(r); err != nil {
				return err
			}
			rec.add("%s starts again with the settings of round %d", r.name, round)
			time.Sleep(rand.N(hupWithin))
			if err := f.change(r, i, round+hupRounds); err != nil {
				return err
			}
			if trouble {
				r.signal(syscall.SIGHUP)
				rec.add("%s: its settings file has changed, SIGHUP", r.name)
			}
			if r.endedWithin(restartDelay) {
				ends[r.name]++
				rec.add("%s ended by itself: %v", r.name, r.cmd.ProcessState)
				if err := f.start(r); err != nil {
					return err
				}
			}
		}
		if err := f.awaitReady(f.routers, 20*time.Second); err != nil {
			return err
		}
	}
	machines := 0
	for _, r := range f.routers {
		rec.say("%s ended by itself %d times", r.name, ends[r.name])
		if ends[r.name] >= faultEnds {
			machines++
		}
	}
	if machines >= hupMachines {
		return errBroken
	}
	return nil
}

// change lays another settings file, with another value of a bound that may change while a router runs.
func (f *fleet) change(r *router, i, value int) error {
	text := f.settingsOf(r, i, false) + fmt.Sprintf("Bounds.CapFactor=%g\n", 2+float64(value)/100)
	if err := os.WriteFile(r.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(r.settings+".new", r.settings)
}

// endedWithin reports whether the process of a router ends within a time.
func (r *router) endedWithin(d time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(d):
		return false
	}
}
