package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// leftReplicas is the number of replicas, of which one at a time fails a part of its requests, for greyFor: a share of
	// 0.125.
	leftReplicas = 8
	greyRatio    = 0.4
	greyFor      = 6500 * time.Millisecond
	// A replica falls silent each silenceEvery for silenceFor, one after the other.
	silenceEvery = 500 * time.Millisecond
	silenceFor   = 1200 * time.Millisecond
	// A stream has leftPieces pieces, one each leftPause.
	leftPieces = 40
	leftPause  = 50 * time.Millisecond
	leftCalls  = 320
	leftLength = 90 * time.Second
)

// silences holds until when each replica is silent.
type silences struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// wait waits while a replica is silent.
func (s *silences) wait(id string) {
	s.mu.Lock()
	left := time.Until(s.until[id])
	s.mu.Unlock()
	time.Sleep(left)
}

// set makes a replica silent.
func (s *silences) set(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[id] = time.Now().Add(silenceFor)
}

// left plays sound replicas that fall silent for a second and go on, beside one that fails a part of its requests.
func left(rec *record, trouble bool) error {
	f, end, err := newFleet(2, true)
	if err != nil {
		return err
	}
	defer end()
	started := time.Now()
	// greyAt returns the index of the replica that fails a part of its requests at a time.
	greyAt := func(t time.Time) int { return int(t.Sub(started)/greyFor) % leftReplicas }
	silent := &silences{until: map[string]time.Time{}}
	var mu sync.Mutex
	path := map[string][]string{}
	var ids []string
	for i := range leftReplicas {
		rep := &replica{
			id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "modelo-jueces", zone: zones[i%len(zones)], slots: 64, queue: 64,
			serve: func(rep *replica, a *arrival) bool {
				fails := trouble && greyAt(time.Now()) == i && rand.Float64() < greyRatio
				mu.Lock()
				step := rep.id
				if fails {
					step += " (fails)"
				}
				path[a.id] = append(path[a.id], step)
				mu.Unlock()
				rec.add("replica %s runs %s after %q, fails %v", rep.id, a.id, a.req.Header.Get(headerLastID), fails)
				silent.wait(rep.id)
				if fails {
					return rep.answer(a, http.StatusInternalServerError, "error", map[string]string{headerSig: "3e1b." + rep.id})
				}
				from := 0
				if last, err := strconv.Atoi(a.req.Header.Get(headerLastID)); err == nil {
					from = last + 1
				}
				fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, a.id, headerSig, rep.id)
				for i := from; i < leftPieces; i++ {
					silent.wait(rep.id)
					text := piece(i)
					if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
						return false
					}
					time.Sleep(leftPause)
				}
				_, err := io.WriteString(a.conn, "0\r\n\r\n")
				return err == nil
			},
		}
		if err := rep.start(f.store); err != nil {
			return err
		}
		defer rep.stop()
		ids = append(ids, rep.id)
	}
	f.configure(1, []routeSpec{{
		Name: "route-coach", Host: hostName, Prefix: "/pufi791/", Type: "stream", Service: "modelo-jueces", TimeoutMs: 8000, SloMs: 400, ItlTargetMs: 300, Attempts: 2,
		Resumable: true,
	}}, []map[string]any{{"Name": "modelo-jueces", "MaxConns": 370, "HealthPath": "/healthz"}})
	if err := f.startAll(); err != nil {
		return err
	}
	until := time.Now().Add(leftLength)
	go func() {
		for i := 0; time.Now().Before(until); i++ {
			if at := i % leftReplicas; at != greyAt(time.Now()) {
				silent.set(ids[at])
				rec.add("replica %s is silent for %v", ids[at], silenceFor)
			}
			time.Sleep(silenceEvery)
		}
	}()
	lost, whole := 0, 0
	other := map[string]int{}
	var requesters sync.WaitGroup
	for i := range leftCalls {
		requesters.Go(func() {
			r := &requester{front: f.routers[i%len(f.routers)].front}
			defer r.close()
			for time.Now().Before(until) {
				c := call{id: newID(), method: http.MethodPost, path: "/pufi791/2f", deadline: 8 * time.Second}
				c.body = c.id
				kept, began := r.conn != nil, time.Now()
				got := r.send(c)
				took := time.Since(began)
				mu.Lock()
				steps := strings.Join(path[c.id], ", ")
				sound := len(path[c.id]) > 1 && path[c.id][0] != ids[greyAt(began)] && path[c.id][0] != ids[greyAt(time.Now())]
				switch {
				case got.err != nil && got.status == http.StatusOK && kept && took < 8*time.Second && sound:
					lost++
					rec.add("LOST: %s cut after %v with %d pieces: it ran at %s", c.id, took, strings.Count(string(got.body), "\n\n"), steps)
				case got.err == nil && got.status == http.StatusOK:
					whole++
				default:
					other[fmt.Sprintf("%d %v", got.status, got.err != nil)]++
					rec.add("%s: status %d, error %v, ran at %s", c.id, got.status, got.err, steps)
				}
				mu.Unlock()
			}
		})
	}
	requesters.Wait()
	rec.say("%d streams whole, %d cut on kept connections after a sound replica was left, other ends %v", whole, lost, other)
	if whole == 0 {
		return errNothingShown
	}
	if lost > lostLimit {
		return errBroken
	}
	return nil
}
