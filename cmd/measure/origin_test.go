package main

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/share/origin"
)

// recordedOrigins counts the published origins of each message.
type recordedOrigins struct {
	discardedOrigins
	messages []int
}

// PublishOrigins implements origin.Peers.
func (r *recordedOrigins) PublishOrigins(_ ident.Router, records []origin.Record) {
	r.messages = append(r.messages, len(records))
}

// Guards against sums of messages that the router does not send: the numbers of keepers and of routers asked
// are worked with here, and set in package origin.
func TestMessagesOfOrigins(t *testing.T) {
	for _, f := range originFleets {
		peers := &recordedOrigins{}
		several := f.newOrigins(peers, 2)
		several.Began(originRecord(0))
		if diff := cmp.Diff([]int{1, 1, 1}, peers.messages); diff != "" || len(peers.messages) != keepersOfOrigin {
			t.Errorf("%d routers: messages of one stream: %s", f.routers, diff)
		}
		single := &recordedOrigins{}
		o := f.newOrigins(single, 1)
		o.Began(originRecord(0))
		if len(single.messages) > 0 {
			t.Errorf("%d routers: %d messages of a stream while the service has one version", f.routers, len(single.messages))
		}
		least, most := f.regions*askedOfRegion, f.regions*(askedOfRegion+keepersOfOrigin)
		if got := o.Find(context.Background(), originRecord(1).Key, service).Asked; got < least || got > most {
			t.Errorf("%d routers: %d asked, want %d to %d", f.routers, got, least, most)
		}
	}
}

// Guards against a memory figure of a table that holds fewer or more origins than a router's.
func TestMaxOrigins(t *testing.T) {
	o := newOrigins(discardedOrigins{}, func() []origin.Router { return nil })
	o.Merge(originRecords(0, 2*maxOrigins))
	held := 0
	for i := range 2 * maxOrigins {
		if o.Answer(t.Context(), originRecord(i).Key, service).Known {
			held++
		}
	}
	if held != maxOrigins {
		t.Errorf("a full table holds %d origins, want %d", held, maxOrigins)
	}
}

// Guards against figures of a batch that is sent in several messages.
func TestOriginBatch(t *testing.T) {
	peers := &recordedOrigins{}
	o := originFleets[0].newOrigins(peers, 1)
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan struct{})
	blocked := &firstMessage{recordedOrigins: peers, started: started}
	o.Peers = blocked
	// Streams of all 64 groups, so many that each group has more than one batch.
	for i := range maxOrigins {
		o.Began(originRecord(i))
	}
	o.TargetAdded(origin.Origin{Service: service, Version: "second"})
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	<-started
	cancel()
	<-done
	largest := 0
	for _, count := range peers.messages {
		largest = max(largest, count)
	}
	if largest != originBatch {
		t.Errorf("the largest message has %d origins, want %d", largest, originBatch)
	}
}

// firstMessage reports the first message.
type firstMessage struct {
	*recordedOrigins
	started chan struct{}
}

// PublishOrigins implements origin.Peers.
func (f *firstMessage) PublishOrigins(to ident.Router, records []origin.Record) {
	if len(f.messages) == 0 {
		close(f.started)
	}
	f.recordedOrigins.PublishOrigins(to, records)
}

// Guards against sums in which a byte or a microsecond is missing or counted twice.
func TestOriginTrafficAddsUp(t *testing.T) {
	costs := originCosts{alone: callCost{bytes: 100}, find: callCost{bytes: 1000}}
	var got []float64
	for _, r := range (originFleet{routers: 8, regions: 1}).rows(costs, "") {
		got = append(got, r.ControlBytes)
	}
	// 7.5 streams/s with 3 origins each, and 0.15 resumed streams/s with 5 questions each.
	if diff := cmp.Diff([]float64{7.5*3*100 + 0.15*5*1000, 0.15 * 5 * 1000}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a chart of control traffic that also contains traffic of other conditions.
func TestOriginsAreNotDrawn(t *testing.T) {
	rows := []row{{Case: "today", Strategy: "all", ControlBytes: 1}, {Case: originsCase, Strategy: "one version", ControlBytes: 2}}
	p := figures["control"][0]
	all, drawn := p.groups(rows), filepath.Join(t.TempDir(), p.file)
	if diff := cmp.Diff([]string{"today"}, all.cases); diff != "" {
		t.Error(diff)
	}
	if err := p.draw(drawn, rows); err != nil {
		t.Error(err)
	}
}
