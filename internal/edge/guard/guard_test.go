package guard

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/crash"
)

// fakeDeps fakes the targets, which all run or have all crashed, and the store.
type fakeDeps struct {
	mu     sync.Mutex
	down   bool
	probes int
	rows   map[table.Key]table.Row
	// reads counts the reads of each table of the store.
	reads map[table.Name]int
	// failures is the number of next calls to the store that fail.
	failures int
}

func (p *fakeDeps) ConnectionRefused(context.Context, string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	return p.down
}

// nextError returns the error of the next call to the store; the caller holds the lock.
func (p *fakeDeps) nextError() error {
	if p.failures == 0 {
		return nil
	}
	p.failures--
	return errors.New("store unavailable")
}

func (p *fakeDeps) QuarantineRows(_ context.Context, name table.Name) ([]table.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[name]++
	if err := p.nextError(); err != nil {
		return nil, err
	}
	var out []table.Row
	for _, row := range p.rows {
		if row.Table == name {
			out = append(out, row)
		}
	}
	return out, nil
}

func (p *fakeDeps) Commit(_ context.Context, txn table.Txn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.nextError(); err != nil {
		return err
	}
	for _, put := range txn.Puts {
		delete(p.rows, put.Key)
		if !put.Delete {
			p.rows[put.Key] = table.Row{Table: put.Table, Key: put.Key, Value: put.Value}
		}
	}
	return nil
}

// testGuard is a guard that counts its gossip requests and can be made a reader.
type testGuard struct {
	*Guard
	gossipTriggers int
	reads          bool
}

func newGuard(t *testing.T, p *fakeDeps, now *time.Time) *testGuard {
	t.Helper()
	out := &testGuard{}
	g, closeGuard := New(Parts{
		Prober: p, Store: p, Logger: log.NewNopLogger(), Clock: func() time.Time { return *now }, TriggerGossip: func() { out.gossipTriggers++ },
		IsReader: func() bool { return out.reads }, Rank: func(uint64) int { return 0 },
	})
	t.Cleanup(closeGuard)
	out.Guard = g
	return out
}

// request are the traits of the test request.
var request = []crash.Trait{crash.Request(7)}

// QuarantineLeft returns the remaining quarantine of requests with the given traits.
func (g *testGuard) QuarantineLeft(traits []crash.Trait) time.Duration {
	return g.Quarantine(traits).Left
}

// interrupt interrupts the responses of the given targets to the test request.
func (g *testGuard) interrupt(targets ...ident.Target) {
	for _, id := range targets {
		g.checkCrash(Interruption{Traits: request, Target: route.Target{ID: id, Addr: string(id), Incarnation: 1}, Ran: time.Second})
	}
}

func newFakeDeps(down bool) *fakeDeps {
	return &fakeDeps{down: down, rows: map[table.Key]table.Row{}, reads: map[table.Name]int{}}
}

// Interrupted responses of targets that still run do not quarantine a request, however many there
// are; after crashes a complete response ends the quarantine.
func TestNoQuarantineWithoutCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(false)
	g := newGuard(t, p, &now)
	g.interrupt("a", "b", "c", "d")
	if g.QuarantineLeft(request) != 0 || g.gossipTriggers != 0 || len(g.Outgoing(8)) != 0 || p.probes != 4 {
		t.Errorf("before crashes: quarantined for %v, %d probes", g.QuarantineLeft(request), p.probes)
	}
	p.down = true
	g.interrupt("a", "b")
	if g.QuarantineLeft(request) == 0 || g.gossipTriggers != 1 || g.Quarantined(crash.WholeRequest) != 1 {
		t.Errorf("after two crashes: quarantined for %v, %d gossip requests", g.QuarantineLeft(request), g.gossipTriggers)
	}
	g.Served(request)
	if g.QuarantineLeft(request) != 0 {
		t.Error("request is still quarantined after a complete response")
	}
}

// The quarantine survives a restart of all routers, also if the first calls to the store fail. Rows
// that cannot be decoded or have expired are removed from the store.
func TestQuarantineSurvivesRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	first := newGuard(t, p, &now)
	first.interrupt("a", "b", "c")
	p.failures = 1
	if first.writeUnsaved(t.Context()) {
		t.Error("write reported success although the store failed")
	}
	if !first.writeUnsaved(t.Context()) || len(p.rows) != 1 {
		t.Fatalf("%d rows in the store, want 1", len(p.rows))
	}
	p.rows["damaged"] = table.Row{Table: RequestTable, Key: "damaged", Value: []byte("{}")}
	p.rows["8"] = table.Row{Table: RequestTable, Key: "8", Value: []byte("[")}
	now = now.Add(time.Minute)
	next := newGuard(t, p, &now)
	p.failures = 1
	if next.load(t.Context()) || !next.load(t.Context()) {
		t.Error("load did not report whether the store responded")
	}
	if diff := cmp.Diff(first.QuarantineLeft(request), next.QuarantineLeft(request)); diff != "" || next.QuarantineLeft(request) == 0 {
		t.Errorf("quarantine after the restart: %s", diff)
	}
	if len(p.rows) != 1 {
		t.Errorf("%d rows in the store, want only the valid one", len(p.rows))
	}
	now = now.Add(24 * time.Hour)
	if late := newGuard(t, p, &now); !late.load(t.Context()) || late.QuarantineLeft(request) != 0 || len(p.rows) != 0 {
		t.Errorf("after a day: quarantined for %v, %d rows", late.QuarantineLeft(request), len(p.rows))
	}
}

// A row that was written by a router whose clock is ahead does not extend the quarantine.
func TestRowFromRouterWithClockAhead(t *testing.T) {
	ahead, now := time.Unix(5000, 0), time.Unix(1000, 0)
	p := newFakeDeps(true)
	first := newGuard(t, p, &ahead)
	first.interrupt("a", "b")
	first.writeUnsaved(t.Context())
	next := newGuard(t, p, &now)
	next.load(t.Context())
	if diff := cmp.Diff(first.QuarantineLeft(request), next.QuarantineLeft(request)); diff != "" {
		t.Error(diff)
	}
}

// blockingProber is a fake Prober whose probes return when the test sends to proceed.
type blockingProber struct{ proceed chan struct{} }

func (b blockingProber) ConnectionRefused(context.Context, string) bool {
	<-b.proceed
	return true
}

// ReportInterrupted waits for the probe only if the request is already suspect, so that the request
// is not sent again before the result is known. The first interrupted response of a request delays
// nothing.
func TestSuspectRequestWaitsForProbe(t *testing.T) {
	prober := blockingProber{proceed: make(chan struct{})}
	g, closeGuard := New(Parts{Prober: prober, Logger: log.NewNopLogger(), Clock: time.Now, TriggerGossip: func() {}, Rank: func(uint64) int { return 0 }})
	t.Cleanup(closeGuard)
	breakAt := func(id ident.Target) Interruption {
		return Interruption{Traits: request, Target: route.Target{ID: id, Addr: string(id)}, Ran: time.Second}
	}
	g.ReportInterrupted(breakAt("a"))
	prober.proceed <- struct{}{}
	for suspect := false; !suspect; {
		g.mu.Lock()
		suspect = g.record.NearQuarantine(request)
		g.mu.Unlock()
	}
	time.AfterFunc(10*time.Millisecond, func() { prober.proceed <- struct{}{} })
	g.ReportInterrupted(breakAt("b"))
	if g.Quarantine(request).Left == 0 {
		t.Error("ReportInterrupted returned before the probe of the second target")
	}
}

// Only readers read the quarantined requests from the store, and only once. Otherwise 300 routers
// that start together would all read it, and retry while it does not respond.
func TestOnlyReadersReadStore(t *testing.T) {
	for _, reads := range []bool{false, true} {
		now := time.Unix(1000, 0)
		p := newFakeDeps(true)
		g := newGuard(t, p, &now)
		g.reads = reads
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		g.Run(ctx)
		cancel()
		want := map[table.Name]int{}
		if reads {
			want = map[table.Name]int{RequestTable: 1, PartTable: 1}
		}
		if diff := cmp.Diff(want, p.reads); diff != "" {
			t.Errorf("reader: %v: reads of each table: %s", reads, diff)
		}
	}
}

// Rows lost in a store rollback are written again by the router that observed the crashes and, in
// case it no longer runs, by the readers.
func TestQuarantineRewrittenAfterStoreRollback(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	observer, peer := newGuard(t, p, &now), newGuard(t, p, &now)
	observer.interrupt("a", "b", "c")
	peer.Incoming(observer.Outgoing(2))
	for _, step := range []struct {
		by    *testGuard
		reads bool
		want  int
	}{{observer, false, 1}, {peer, false, 0}, {peer, true, 1}} {
		clear(p.rows)
		step.by.reads = step.reads
		step.by.Rewrite()
		step.by.writeUnsaved(t.Context())
		if diff := cmp.Diff(step.want, len(p.rows)); diff != "" {
			t.Errorf("rows after %+v: %s", step, diff)
		}
	}
}

// partOf returns the traits of a request of its own with a part in its prompt.
func partOf(fingerprint ident.Fingerprint) []crash.Trait {
	return crash.Traits(fingerprint, []ident.PartHash{7})
}

// Guards against a part of prompts that crashes target after target while the requests with it all differ,
// and against its quarantine being lost when all routers restart. The row of a part is no row of a request
// with the same hash.
func TestPartOfPromptsIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	first := newGuard(t, p, &now)
	for i, id := range []ident.Target{"a", "b", "c"} {
		now = now.Add(time.Second)
		first.checkCrash(Interruption{Traits: partOf(ident.Fingerprint(100 + i)), Target: route.Target{ID: id, Addr: string(id)}, Ran: time.Second})
	}
	if first.Quarantine(partOf(200)).Trait != crash.Part(7) || first.Quarantined(crash.PromptPart) != 1 || first.gossipTriggers != 1 {
		t.Errorf("after three crashes: %+v, %d gossip requests", first.Quarantine(partOf(200)), first.gossipTriggers)
	}
	if !first.writeUnsaved(t.Context()) || p.rows["7"].Table != PartTable {
		t.Fatalf("rows in the store: %+v", p.rows)
	}
	next := newGuard(t, p, &now)
	if !next.load(t.Context()) {
		t.Fatal("the store was not read")
	}
	want := []crash.Quarantine{first.Quarantine(partOf(200)), {}}
	if diff := cmp.Diff(want, []crash.Quarantine{next.Quarantine(partOf(200)), next.Quarantine(request)}); diff != "" {
		t.Errorf("after the restart: %s", diff)
	}
}

// Guards against two trials at once: the first request admitted after a quarantine is the only one until its
// timeout, and its peers learn of it.
func TestAdmittedRequestIsTheOnlyTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	first, peer := newGuard(t, p, &now), newGuard(t, p, &now)
	first.interrupt("a", "b")
	peer.Incoming(first.Outgoing(2))
	now = now.Add(first.QuarantineLeft(request))
	if left := first.Admit(request).Left; left != 0 {
		t.Fatalf("the trial is not admitted for %v", left)
	}
	if first.gossipTriggers != 2 {
		t.Errorf("%d gossip requests, want one for the quarantine and one for the trial", first.gossipTriggers)
	}
	peer.Incoming(first.Outgoing(2))
	for name, g := range map[string]*testGuard{"first": first, "peer": peer} {
		if g.Admit(request).Left == 0 {
			t.Errorf("%s admits another request during the trial", name)
		}
	}
}

// Guards against sound requests that are held back for the timeout of an early trial which showed nothing: its target
// rejected it, or lives on although the answer broke off. Another sound request may be the next early trial at once; a
// request with the other part, which most likely crashes targets, still waits.
func TestEarlyTrialThatShowsNothingIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	g := newGuard(t, p, &now)
	crashing, sound := crash.Traits(100, []ident.PartHash{1, 2}), crash.Traits(200, []ident.PartHash{1})
	for _, id := range []ident.Target{"a", "b", "c"} {
		now = now.Add(time.Second)
		g.checkCrash(Interruption{Traits: crashing, Target: route.Target{ID: id, Addr: string(id)}, Ran: time.Second})
	}
	now = now.Add(g.QuarantineLeft(sound))
	for _, end := range []func(){
		func() { g.Abandon(sound) },
		func() {
			p.down = false
			g.checkCrash(Interruption{Traits: sound, Trial: true, Target: route.Target{ID: "c", Addr: "c"}})
		},
	} {
		if q := g.Admit(sound); !q.Trial || q.Left != 0 {
			t.Fatalf("a sound request is no trial: %+v", q)
		}
		end()
	}
	if q := g.Admit(sound); !q.Trial {
		t.Errorf("after trials that showed nothing: %+v, want another trial", q)
	}
	if q := g.Admit(crashing); q.Left == 0 {
		t.Error("a request with the other part is admitted")
	}
}

// Guards against a request that is refused at a router that starts after a complete response has
// ended its quarantine, and at the routers that hear of it from there.
func TestEndedQuarantineStaysEndedAfterRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	first := newGuard(t, p, &now)
	first.interrupt("a", "b", "c")
	first.writeUnsaved(t.Context())
	now = now.Add(2 * time.Second)
	first.Served(request)
	first.writeUnsaved(t.Context())
	now = now.Add(5 * time.Second)
	next, third := newGuard(t, p, &now), newGuard(t, p, &now)
	next.load(t.Context())
	third.Incoming(next.Outgoing(8))
	var none time.Duration
	got := []time.Duration{first.QuarantineLeft(request), next.QuarantineLeft(request), third.QuarantineLeft(request)}
	if diff := cmp.Diff([]time.Duration{none, none, none}, got); diff != "" {
		t.Errorf("quarantine at the router that had the response, one that started later, one that heard of it: %s", diff)
	}
}

// Guards against a quarantine that no complete response ends at a router that started after the
// first one, although other routers remember that one and see further ones.
func TestCompleteResponsesAreToldToLaterStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newFakeDeps(true)
	first := newGuard(t, p, &now)
	first.interrupt("a", "b", "c")
	first.writeUnsaved(t.Context())
	now = now.Add(2 * time.Second)
	first.Served(request)
	for range 50 {
		first.Outgoing(8)
	}
	next := newGuard(t, p, &now)
	next.load(t.Context())
	for range 20 {
		first.Incoming(next.Outgoing(8))
		now = now.Add(500 * time.Millisecond)
		first.Served(request)
		next.Incoming(first.Outgoing(8))
	}
	if left := next.QuarantineLeft(request); left != 0 {
		t.Errorf("quarantined for %v after 20 complete responses at the other router", left)
	}
}
