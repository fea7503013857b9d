package main

import (
	"net"
	"net/http"
	"time"

	"valescale/platform/fake"
)

const (
	// cutDuration is how long a router is cut off from all targets.
	cutDuration = 4 * time.Second
	// cutDetectionTime is the time after which a router that is cut off serves as others do.
	cutDetectionTime = 3 * time.Second
	// cutRequests is the number of requests sent to each router in a cut. Two thirds must be served at
	// the first try.
	cutRequests = 30
	// silenceDuration is how long a sound target sends nothing.
	silenceDuration = time.Second
)

// setCutOff cuts a router off from all targets, or ends that.
func (w *harness) setCutOff(r *router, cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cutOff {
		w.cutOff[r] = true
	} else {
		delete(w.cutOff, r)
	}
	w.orders.record(cutEvent(cutOff), r)
	for _, t := range w.targets {
		w.applyCut(t.listener)
	}
}

// applyCut cuts a listener off from the routers that are cut off. The caller holds the lock.
func (w *harness) applyCut(l *fake.Cuttable) {
	var sources []net.IP
	for r := range w.cutOff {
		sources = append(sources, r.source)
	}
	// A target that has crashed has no listener, and needs no cut.
	_ = l.Cut(sources...)
}

// relisten replaces the listener of a target that has crashed.
func (w *harness) relisten(t *target) (*fake.Cuttable, error) {
	l, err := fake.ListenCuttable(t.addr)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.listener = l
	w.applyCut(l)
	return l, nil
}

// cutOffForAWhile cuts a router off from all targets for cutDuration.
func (w *harness) cutOffForAWhile(r *router) {
	w.setCutOff(r, true)
	time.AfterFunc(cutDuration, func() { w.setCutOff(r, false) })
}

// cutEvent returns the event of a router that is cut off, or not any more.
func cutEvent(cutOff bool) string {
	if cutOff {
		return cutOffEvent
	}
	return joinedEvent
}

// silenceForAWhile keeps a sound target from sending anything for silenceDuration.
func (w *harness) silenceForAWhile(t *target) {
	w.setMode(t, fake.Stalled)
	time.AfterFunc(silenceDuration, func() { w.setMode(t, fake.Healthy) })
}

// checkCutOff cuts half of the routers off from all targets and checks that they serve.
func (w *harness) checkCutOff(c *caller) {
	cutRouters := w.routers[:len(w.routers)/2]
	for _, r := range cutRouters {
		w.setCutOff(r, true)
	}
	for until := time.Now().Add(cutDetectionTime); time.Now().Before(until); {
		for _, r := range cutRouters {
			c.send(r, safePath)
		}
	}
	for _, r := range cutRouters {
		served := 0
		for range cutRequests {
			if c.send(r, safePath) == http.StatusOK {
				served++
			}
		}
		if served < cutRequests*2/3 {
			w.ledger.addViolation("%s, cut off from all targets, served %d of %d requests", r.name, served, cutRequests)
		}
	}
	for _, r := range cutRouters {
		w.setCutOff(r, false)
	}
}
