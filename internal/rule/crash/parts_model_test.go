package crash

import (
	"math/rand/v2"
	"testing"
	"time"

	"valescale/internal/plat/ident"
)

// modelPrompts describes the prompts of the model's harmless requests: each has the first part of its
// group of sessions and the part of its session.
type modelPrompts struct {
	groups, sessions int
}

// harmlessParts returns the shared parts of a harmless request.
func (m *model) harmlessParts() []ident.PartHash {
	if m.prompts.sessions == 0 {
		return nil
	}
	session := m.rng.IntN(m.prompts.sessions)
	return []ident.PartHash{groupPart(session % m.prompts.groups), sessionPart(session)}
}

const (
	fatalPart     ident.PartHash = 1
	otherFatal    ident.PartHash = 2
	groupParts    ident.PartHash = 1 << 20
	sessionParts  ident.PartHash = 1 << 24
	modelContact                 = 3 * time.Second
	modelPartRate                = 10
)

func groupPart(i int) ident.PartHash   { return groupParts + ident.PartHash(i) }
func sessionPart(i int) ident.PartHash { return sessionParts + ident.PartHash(i) }

// sendPart sends a request of its own with the given parts, which crash its target after the given time.
func (m *model) sendPart(after time.Duration, parts ...ident.PartHash) {
	m.next++
	m.send(&modelRun{request: m.next, parts: parts, router: m.rng.IntN(modelRouters), crashAfter: after, attempts: modelMaxAttempts - 2, cause: parts[len(parts)-1]})
}

// lateSends returns the number of attempts with a part that were sent more than modelContact after its
// fifth crash.
func (m *model) lateSends(part ident.PartHash) int {
	late := 0
	if crashes := m.partCrashes[part]; len(crashes) >= 5 {
		for _, at := range m.partSends[part] {
			if at.Sub(crashes[4]) > modelContact {
				late++
			}
		}
	}
	return late
}

// partOutcome is the result of several runs of the model with crashing parts.
type partOutcome struct {
	crashes, maxCrashes, maxLate         int
	harmlessAttempts, rejected, unserved int
	// rejectedParts counts the harmless attempts rejected for a part, heldParts the parts.
	rejectedParts, heldParts int
}

// runParts runs the model for 20 s with each seed. Requests with prompts of 402 sessions in 40 groups are
// harmless; sendFatal is called ten times per second from the second on.
func runParts(t *testing.T, seeds uint64, prompts modelPrompts, sendFatal func(m *model)) partOutcome {
	t.Helper()
	var out partOutcome
	for seed := range seeds {
		m := newModel(seed)
		m.prompts = prompts
		for i := range 2000 {
			if i >= 200 && i%10 == 0 {
				sendFatal(m)
			}
			m.step()
		}
		for part, times := range m.partCrashes {
			out.crashes += len(times)
			out.maxCrashes = max(out.maxCrashes, len(times))
			out.maxLate = max(out.maxLate, m.lateSends(part))
		}
		out.harmlessAttempts += m.harmlessAttempts
		out.rejected += m.rejected
		out.unserved += m.unserved
		out.rejectedParts += m.rejectedParts
		out.heldParts += len(m.heldParts)
	}
	t.Logf("%+v", out)
	return out
}

var usualPrompts = modelPrompts{groups: 40, sessions: 402}

// Pattern: a part of prompts crashes each engine that runs a request with it, ten requests per second at any
// of eight routers, no two alike. Wherever the part stands and however common the other parts are, at most three
// attempts may follow later than 3 s after the fifth crash, and few harmless attempts may be rejected.
func TestCrashingPart(t *testing.T) {
	many := func(m *model) []ident.PartHash {
		var out []ident.PartHash
		for range 49 {
			out = append(out, ident.PartHash(m.rng.Uint64()))
		}
		return out
	}
	for _, c := range []struct {
		name    string
		prompts modelPrompts
		send    func(m *model)
	}{
		{"second part of a common group", usualPrompts, func(m *model) { m.sendPart(modelCrashAfter, groupPart(3), fatalPart) }},
		{"second part of any group", usualPrompts, func(m *model) { m.sendPart(modelCrashAfter, groupPart(m.rng.IntN(40)), fatalPart) }},
		{"first part of all its sessions", usualPrompts, func(m *model) {
			m.sendPart(modelCrashAfter, sessionPart(m.rng.IntN(402)), fatalPart)
		}},
		{"parts that nobody else uses", usualPrompts, func(m *model) { m.sendPart(modelCrashAfter, 77, 78, fatalPart) }},
		{"among 50 parts", usualPrompts, func(m *model) { m.sendPart(modelCrashAfter, append(many(m), fatalPart)...) }},
		{"after a second and a half", usualPrompts, func(m *model) { m.sendPart(1500*time.Millisecond, groupPart(3), fatalPart) }},
		{"two in different requests", usualPrompts, func(m *model) {
			m.sendPart(modelCrashAfter, groupPart(3), fatalPart)
			m.sendPart(modelCrashAfter, groupPart(5), otherFatal)
		}},
		{"few sessions", modelPrompts{groups: 3, sessions: 48}, func(m *model) { m.sendPart(modelCrashAfter, groupPart(1), fatalPart) }},
		{"many sessions", modelPrompts{groups: 400, sessions: 4000}, func(m *model) { m.sendPart(modelCrashAfter, groupPart(1), fatalPart) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := runParts(t, 4, c.prompts, c.send)
			if got.maxLate > 3 {
				t.Errorf("%d attempts with the part were sent later than %v after its fifth crash", got.maxLate, modelContact)
			}
			if got.rejected > got.harmlessAttempts/500 {
				t.Errorf("%d of %d harmless attempts were rejected", got.rejected, got.harmlessAttempts)
			}
		})
	}
}

// Pattern: engines crash by themselves, one per second and six at once every five seconds, and no part of the
// prompts is at fault. Few attempts may be rejected.
func TestNoPartIsBlamedForIndependentCrashes(t *testing.T) {
	for _, prompts := range []modelPrompts{usualPrompts, {groups: 3, sessions: 48}, {groups: 400, sessions: 4000}, {groups: 1, sessions: 2}} {
		step := 0
		got := runParts(t, 4, prompts, func(m *model) {
			if step++; step%10 == 0 {
				m.crash(m.rng.IntN(modelEngines))
			}
			if step%50 == 25 {
				for i := range 6 {
					m.crash((i + step/50) % modelEngines)
				}
			}
		})
		if got.rejected > got.harmlessAttempts/500 {
			t.Errorf("%+v: %d of %d harmless attempts were rejected", prompts, got.rejected, got.harmlessAttempts)
		}
	}
}

// Pattern: a part that crashes engines keeps coming for 50 s, a hundred times per second. When its quarantine ends, one request in the fleet
// is the trial, not one per router, and crashes one engine.
func TestOneTrialInTheFleet(t *testing.T) {
	for seed := range uint64(4) {
		m := newModel(seed)
		m.prompts = usualPrompts
		var sends []int
		for i := range 5000 {
			if i >= 200 {
				m.sendPart(modelCrashAfter, groupPart(3), fatalPart)
			}
			m.step()
			if i == 1500 || i == 4999 {
				sends = append(sends, len(m.partSends[fatalPart]))
			}
		}
		if got := sends[1] - sends[0]; got != 1 {
			t.Errorf("seed %d: %d attempts after the quarantine, want one", seed, got)
		}
	}
}

// Pattern: the first part that many prompts share is quarantined in error, because requests with it and a
// crashing part were the only ones for a while. The first requests with the shared part alone show that it is
// harmless, long before its quarantine ends.
func TestSharedPartIsClearedByEarlyTrial(t *testing.T) {
	r := newRecord()
	shared, fatal := groupPart(3), fatalPart
	for start := range Start(3) {
		r.Crashed(at(float64(start)), Traits(ident.Fingerprint(start), []ident.PartHash{shared, fatal}), start, 60*time.Millisecond)
	}
	now := at(2).Add(earlyTrialDelay)
	sound := Traits(100, []ident.PartHash{shared, sessionPart(1)})
	if q := r.Quarantine(at(2), sound); q.Trait != Part(shared) || q.Left != earlyTrialDelay {
		t.Errorf("at the third crash: %+v, want a quarantine until the early trial", q)
	}
	if q, urgency := r.Admit(now, sound); q.Left != 0 || urgency != Urgent {
		t.Errorf("the trial: %+v, urgency %d", q, urgency)
	}
	if q := r.Quarantine(now, sound); q.Left != trialTimeout {
		t.Errorf("beside the trial: %+v, want its timeout", q)
	}
	r.Served(now.Add(time.Second), sound)
	if q := r.Quarantine(now.Add(time.Second), sound); q.Left != 0 {
		t.Errorf("after the trial: %+v", q)
	}
	if q := r.Quarantine(now.Add(time.Second), Traits(101, []ident.PartHash{shared, fatal})); q.Trait != Part(fatal) {
		t.Errorf("a request with the crashing part after the trial: %+v", q)
	}
}

// Guards against a flood of invented parts that pushes a crashing part out of the record, and against a
// record without a limit.
func TestFloodOfPartsKeepsSuspect(t *testing.T) {
	r := newRecord()
	flood := ident.PartHash(1 << 40)
	for start := range Start(3) {
		now := at(float64(start))
		r.Crashed(now, Traits(ident.Fingerprint(start), []ident.PartHash{fatalPart}), start, 60*time.Millisecond)
		for i := range 30 {
			var parts []ident.PartHash
			for range 64 {
				flood++
				parts = append(parts, flood)
			}
			r.Crashed(now, Traits(ident.Fingerprint(1000+30*int(start)+i), parts), start, 900*time.Millisecond)
		}
	}
	if q := r.Quarantine(at(3), []Trait{Part(fatalPart)}); q.Left == 0 || len(r.entries) > maxEntries {
		t.Errorf("%+v with %d entries", q, len(r.entries))
	}
}

// Pattern: of 986 routers, one in ten does not respond. Five crashes under a part, one every 100 ms, are each observed
// by another router, and each interrupts twenty harmless requests at others. All responding routers must quarantine
// the part within 3 s of the fifth crash.
func TestPartReachesAllRouters(t *testing.T) {
	const routers, unresponsive, fanout, crashes = 986, 98, 3, 5
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Unix(1000, 0)
	var all []*Record
	for range routers {
		all = append(all, newRecord())
	}
	urgent := make([]bool, routers)
	exchange := func(from, to int) {
		for _, s := range all[from].Outgoing(now, routers) {
			urgent[to] = all[to].Merge(now, s) == Urgent || urgent[to]
		}
	}
	next := ident.Fingerprint(0)
	crash := func(start Start) {
		for i := range 21 {
			next++
			parts, ran := []ident.PartHash{groupPart(rng.IntN(40)), sessionPart(rng.IntN(402))}, time.Duration(rng.IntN(2000))*time.Millisecond
			if i == 0 {
				parts, ran = []ident.PartHash{groupPart(3), fatalPart}, modelCrashAfter
			}
			all[unresponsive+rng.IntN(routers-unresponsive)].Crashed(now, Traits(next, parts), start, ran)
		}
	}
	quarantining := 0
	for step := range 34 {
		now = now.Add(100 * time.Millisecond)
		if step < crashes {
			crash(Start(step))
		}
		for a := unresponsive; a < routers; a++ {
			peers := 0
			if urgent[a] {
				peers = fanout
			}
			urgent[a] = false
			if (step+a)%4 == 0 {
				peers++
			}
			for range peers {
				if b := rng.IntN(routers); b >= unresponsive && b != a {
					exchange(a, b)
					exchange(b, a)
				}
			}
		}
	}
	for _, r := range all[unresponsive:] {
		if r.Quarantine(now, []Trait{Part(fatalPart)}).Left > 0 {
			quarantining++
		}
	}
	if quarantining < routers-unresponsive {
		t.Errorf("3 s after the fifth crash %d of %d routers quarantine the part", quarantining, routers-unresponsive)
	}
}
