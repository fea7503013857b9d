package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// spotReplicas is the number of replicas, of which one is taken away in each round: a share of 0.125.
	spotReplicas = 8
	spotRounds   = 6
	// spotStreams is the number of streams of a round, 50 at each replica.
	spotStreams = 400
	// A stream has spotPieces pieces, one each spotPause ms.
	spotPieces, spotPauseMs = 60, 100
	// spotSpread is the time over which the streams of a round start.
	spotSpread = 4 * time.Second
	// spotNotice is the time from the notice of a replica to its end.
	spotNotice = 2 * time.Second
)

// maxWithoutStream is the number of requests of a round that may get no stream.
const maxWithoutStream = spotStreams / 10

// errNothingShown is returned by a case in which too few streams ran, or none was disturbed.
var errNothingShown = errors.New("too few streams ran or were disturbed")

// spot plays replicas that are taken away after their notice, while they send streams without a length.
func spot(rec *record, trouble bool) error {
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
	next := 0
	add := func() error {
		p, err := startReplica(f.store, fmt.Sprintf("i-%08x", 0x7f3a91c0+next), "modelo-jueces", zones[next%len(zones)], 64)
		next++
		if err == nil {
			replicas = append(replicas, p)
		}
		return err
	}
	for range spotReplicas {
		if err := add(); err != nil {
			return err
		}
	}
	f.configure(1, []routeSpec{{
		Name: "run-review", Host: hostName, Prefix: "/lohu930/", Type: "stream", Service: "modelo-jueces", TimeoutMs: 10000, SloMs: 600, ItlTargetMs: 300, Attempts: 1, Prio: 1,
	}}, []map[string]any{{"Name": "modelo-jueces", "MaxConns": 370, "HealthPath": "/healthz"}})
	if err := f.startAll(); err != nil {
		return err
	}
	broken := 0
	for round := range spotRounds {
		inRound, err := spotRound(rec, f, replicas[round], trouble)
		if err != nil {
			return err
		}
		broken += inRound
		if err := add(); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	rec.say("%d streams that were cut ended as complete", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// spotRound starts the streams of a round and takes a replica away meanwhile. It returns how many streams ended as
// complete before their last piece, or an error if the round showed nothing.
func spotRound(rec *record, f *fleet, leaving *replicaProcess, trouble bool) (int, error) {
	var streams sync.WaitGroup
	ends := make([]streamEnd, spotStreams)
	for i := range spotStreams {
		streams.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			ends[i] = readStream(context.Background(), f.routers[i%len(f.routers)].front, "/lohu930/2f", 10*time.Second,
				map[string]string{headerPieces: strconv.Itoa(spotPieces), headerPause: strconv.Itoa(spotPauseMs)})
		})
	}
	time.Sleep(time.Second)
	rec.add("replica %s says that it is draining", leaving.id)
	leaving.register(f.store, "draining")
	time.Sleep(spotNotice)
	if trouble {
		leaving.kill()
		rec.add("replica %s is gone", leaving.id)
		f.store.put("servers", leaving.id, nil)
	}
	streams.Wait()
	if !trouble {
		leaving.kill()
		f.store.put("servers", leaving.id, nil)
	}
	whole, cut, broken, other := 0, 0, 0, 0
	for _, e := range ends {
		rec.add("stream %s of %s: status %d, %d pieces, orderly end %v, error %v", e.id, e.replica, e.status, e.pieces, e.orderly, e.err)
		switch {
		case e.status != http.StatusOK:
			other++
		case e.pieces == spotPieces:
			whole++
		case e.orderly:
			broken++
			rec.add("ORDER: stream %s ended as complete with %d of %d pieces", e.id, e.pieces, spotPieces)
		default:
			cut++
		}
	}
	rec.say("%d streams whole, %d cut visibly, %d cut and ended as complete, %d without a stream", whole, cut, broken, other)
	if other > maxWithoutStream || trouble && cut+broken == 0 {
		return 0, errNothingShown
	}
	return broken, nil
}
