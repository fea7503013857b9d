package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// drainedRounds is the number of replicas that leave, one in each round.
	drainedRounds = 8
	// drainedAfter is the time from the notice of a replica until it accepts no more connections: DrainMs and a little
	// longer. It ends once its streams are whole.
	drainedAfter = 2500 * time.Millisecond
)

// drained plays replicas that leave in order, while they send streams without a length.
func drained(rec *record, trouble bool) error {
	f, end, err := newFleet(2, true)
	if err != nil {
		return err
	}
	defer end()
	var replicas []*replicaProcess
	defer func() {
		for _, p := range replicas {
			p.kill()
		}
	}()
	for i := range spotReplicas + drainedRounds {
		p, err := startReplica(f.store, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "modelo-jueces", zones[i%len(zones)], 64)
		if err != nil {
			return err
		}
		replicas = append(replicas, p)
		if i >= spotReplicas {
			// It joins when another one leaves.
			f.store.put("servers", p.id, nil)
		}
	}
	f.configure(1, []routeSpec{{
		Name: "run-review", Host: hostName, Prefix: "/lohu930/", Type: "stream", Service: "modelo-jueces", TimeoutMs: 10000, SloMs: 600, ItlTargetMs: 300, Attempts: 1, Prio: 1,
	}}, []map[string]any{{"Name": "modelo-jueces", "MaxConns": 370, "HealthPath": "/healthz"}})
	if err := f.startAll(); err != nil {
		return err
	}
	lost := 0
	for round := range drainedRounds {
		inRound, err := drainedRound(rec, f, replicas[round], replicas[spotReplicas+round], trouble)
		if err != nil {
			return err
		}
		lost += inRound
	}
	rec.say("%d kept connections were reset although the replica had ended the stream whole and in order", lost)
	if lost > lostLimit {
		return errBroken
	}
	return nil
}

// drainedRound starts the streams of a round and has a replica leave meanwhile. It returns how many whole streams were
// not ended in order, or an error if the round showed nothing.
func drainedRound(rec *record, f *fleet, leaving, next *replicaProcess, trouble bool) (int, error) {
	var streams sync.WaitGroup
	ends := make([]streamEnd, spotStreams)
	for i := range spotStreams {
		streams.Go(func() {
			time.Sleep(time.Duration(i) * spotSpread / spotStreams)
			ends[i] = readStream(context.Background(), f.routers[i%len(f.routers)].front, "/lohu930/2f", 10*time.Second,
				map[string]string{headerPieces: strconv.Itoa(spotPieces), headerPause: strconv.Itoa(spotPauseMs)})
		})
	}
	time.Sleep(spotSpread)
	if trouble {
		next.register(f.store, "ready")
		rec.add("replica %s says that it is draining", leaving.id)
		leaving.register(f.store, "draining")
		time.Sleep(drainedAfter)
		rec.add("replica %s accepts no more connections", leaving.id)
		leaving.leave()
	}
	streams.Wait()
	if trouble {
		_ = leaving.cmd.Wait()
		rec.add("replica %s has ended: %v", leaving.id, leaving.cmd.ProcessState)
		f.store.put("servers", leaving.id, nil)
	}
	whole, lost, other := 0, 0, 0
	for _, e := range ends {
		rec.add("stream %s of %s: status %d, %d pieces, orderly end %v, error %v", e.id, e.replica, e.status, e.pieces, e.orderly, e.err)
		switch {
		case e.status != http.StatusOK:
			other++
		case e.orderly && e.pieces == spotPieces:
			whole++
		case e.pieces == spotPieces:
			lost++
			rec.add("LOST: stream %s of %s was reset after its last piece", e.id, e.replica)
		default:
			other++
		}
	}
	rec.say("%d streams whole, %d reset after their last piece, %d other ends", whole, lost, other)
	if other > maxWithoutStream {
		return 0, errNothingShown
	}
	return lost, nil
}
