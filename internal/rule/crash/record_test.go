package crash

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

var (
	crashingRequest = []Trait{Request(7)}
	harmlessRequest = []Trait{Request(8)}
)

// newRecord returns the record of a router that is the first to begin trials.
func newRecord() *Record { return NewRecord(func(Trait) int { return 0 }) }

// quarantineLeft returns the remaining quarantine of requests with the given traits.
func quarantineLeft(r *Record, now time.Time, traits []Trait) time.Duration {
	return r.Quarantine(now, traits).Left
}

// at returns the time the given number of seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// A request is quarantined from the second crash on. Each further crash extends the quarantine, and
// between two quarantines the request may be sent again.
func TestQuarantineGrows(t *testing.T) {
	r := newRecord()
	now := at(0)
	var got []time.Duration
	for start := range Start(6) {
		r.Crashed(now, crashingRequest, start, time.Second)
		quarantine := quarantineLeft(r, now, crashingRequest)
		got = append(got, quarantine)
		now = now.Add(quarantine)
		if quarantineLeft(r, now, crashingRequest) != 0 {
			t.Errorf("after crash %d: still quarantined at the end of the quarantine", start+1)
		}
	}
	want := []time.Duration{0, firstQuarantine, baseQuarantine, 2 * baseQuarantine, 4 * baseQuarantine, 8 * baseQuarantine}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A crash that several attempts or several routers observed is counted once.
func TestCrashCountsOnce(t *testing.T) {
	a, b := newRecord(), newRecord()
	a.Crashed(at(0), crashingRequest, 1, time.Second)
	a.Crashed(at(0.1), crashingRequest, 1, time.Second)
	b.Crashed(at(0.1), crashingRequest, 1, time.Second)
	for _, s := range b.Outgoing(at(0.2), 2) {
		if urgency := a.Merge(at(0.2), s); urgency != Nothing {
			t.Errorf("the same crash is reported as a change of urgency %d", urgency)
		}
	}
	if quarantine := quarantineLeft(a, at(0.2), crashingRequest); quarantine != 0 {
		t.Errorf("quarantined for %v after one crash", quarantine)
	}
}

// Routers that observed one crash each quarantine the request once they have exchanged their
// suspects. A router that joins later receives the suspect although it has not changed for long.
func TestCrashesAddUpOverRouters(t *testing.T) {
	a, b, late := newRecord(), newRecord(), newRecord()
	a.Crashed(at(0), crashingRequest, 1, time.Second)
	b.Crashed(at(1), crashingRequest, 2, time.Second)
	send := func(from, to *Record, now time.Time) (urgency Urgency) {
		for _, s := range from.Outgoing(now, 3) {
			urgency = max(urgency, to.Merge(now, s))
		}
		return urgency
	}
	if urgency := send(a, b, at(1.1)); urgency != Urgent {
		t.Errorf("the second crash is reported with urgency %d, want Urgent", urgency)
	}
	send(b, a, at(1.1))
	for range 100 {
		send(b, a, at(1.2))
	}
	send(b, late, at(2))
	for name, r := range map[string]*Record{"a": a, "b": b, "late": late} {
		if diff := cmp.Diff(firstQuarantine-time.Second, quarantineLeft(r, at(2), crashingRequest)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// A complete answer clears a request on the router that received it and on its peers. A request
// that was served shortly before is not blamed for targets that crash together.
func TestServedRequestsAreCleared(t *testing.T) {
	a, b := newRecord(), newRecord()
	for start := range Start(3) {
		a.Crashed(at(0), crashingRequest, start, time.Second)
		b.Crashed(at(0), crashingRequest, start, time.Second)
	}
	a.Served(at(1), crashingRequest)
	for _, s := range a.Outgoing(at(1), 2) {
		b.Merge(at(1), s)
	}
	for start := range Start(3) {
		b.Crashed(at(2), crashingRequest, 10+start, time.Second)
	}
	a.Served(at(1), harmlessRequest)
	for start := range Start(6) {
		a.Crashed(at(3), harmlessRequest, start, time.Second)
	}
	if quarantineLeft(a, at(3), crashingRequest)+quarantineLeft(b, at(3), crashingRequest)+quarantineLeft(a, at(3), harmlessRequest) != 0 {
		t.Error("a request that was served is quarantined")
	}
	for start := range Start(2) {
		a.Crashed(at(3+grace.Seconds()), harmlessRequest, 20+start, time.Second)
	}
	if quarantineLeft(a, at(3+grace.Seconds()), harmlessRequest) == 0 {
		t.Error("a request that was served long ago is not blamed for new crashes")
	}
}

// Of two requests that ran on the same targets, the one that had been sent there shortly before the
// crashes is quarantined.
func TestLikelierRequestIsQuarantined(t *testing.T) {
	r := newRecord()
	for start := range Start(2) {
		r.Crashed(at(1), harmlessRequest, start, 2*time.Second)
		r.Crashed(at(1), crashingRequest, start, 60*time.Millisecond)
	}
	if quarantineLeft(r, at(1), crashingRequest) == 0 || quarantineLeft(r, at(1), harmlessRequest) != 0 {
		t.Errorf("quarantined for %v, and for %v the request that ran beside it", quarantineLeft(r, at(1), crashingRequest), quarantineLeft(r, at(1), harmlessRequest))
	}
}

// The record must stay within its limit, whatever number of targets crash, and keep the requests
// with the most crashes.
func TestRecordIsBounded(t *testing.T) {
	r := newRecord()
	r.Crashed(at(0), crashingRequest, 1, time.Millisecond)
	r.Crashed(at(0), crashingRequest, 2, time.Millisecond)
	for i := range ident.Fingerprint(3 * maxEntries) {
		r.Crashed(at(1), []Trait{Request(100 + i)}, Start(i), time.Second)
	}
	if len(r.entries) > maxEntries || quarantineLeft(r, at(1), crashingRequest) == 0 {
		t.Errorf("%d entries, quarantined for %v", len(r.entries), quarantineLeft(r, at(1), crashingRequest))
	}
	if got := len(r.Outgoing(at(1), 400)); got > maxChangedPerMessage+maxUnchangedPerMessage {
		t.Errorf("%d suspects in one message", got)
	}
	r.Sweep(at(0).Add(24 * time.Hour))
	if len(r.entries) != 0 {
		t.Errorf("%d entries remain after a day", len(r.entries))
	}
}
