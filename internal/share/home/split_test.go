package home_test

import (
	"slices"
	"testing"
	"time"

	"valescale/internal/fake/sched"
	"valescale/internal/plat/ident"
)

// allowedOver is the part of the requests that may go above the promise.
const maxOverRatio = 0.03

// Seen: for five seconds after a surge 4 to 8 in 100 requests reached engines that held over
// twice the mean, some three times. How: the home of 18 engines was short of processor time, so that
// some routers passed it over and asked the next in line while others still asked it. Cause:
// the stand-in handed all permits to the home each second, but their routers went on telling
// the stand-in what they held and giving permits back to it. So the home counted them
// for as long as that lasted, and each hand-over added more. Proof: the home counted 26 to 30
// requests an engine where 11 were, and here twice the truth after 8 s; with the mean the
// bound was too high.
func TestBoundWhileOneRouterUsesStandby(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, smallFleet)
		first := f.startTraffic(t, seed)
		other := f.memberExcept(first, f.assigned.Next(id, first))
		other.unanswered = func(to ident.Router) bool { return to == first }
		f.expectBound(t, seed)
	}
}

// The home answers each router now and then, so that all change between it and the next in line.
func TestBoundWhileRoutersAlternateHomes(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, smallFleet)
		first := f.startTraffic(t, seed)
		for _, b := range f.members {
			if b.id != first {
				b.unanswered = func(to ident.Router) bool { return to == first && f.rng.IntN(20) == 0 }
			}
		}
		f.expectBound(t, seed)
	}
}

// Seen: in the model alone, a third of the requests above the promise. How: 62 routers reach no
// home and decide alone. Cause: each takes an engine on which it has nothing for empty, and all take the
// same one for a subject, so that each may send its first request of a popular one there.
// Proof: an engine's part of 62 routers is a third of a request each; rounding it up makes 62.
func TestBoundWithoutHomes(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, largeFleet)
		for _, b := range f.members {
			b.unanswered = func(to ident.Router) bool { return to != b.id }
		}
		f.traffic(80*time.Millisecond, 700*time.Millisecond)
		f.runFor(3 * time.Second)
		f.overRatio()
		f.runFor(5 * time.Second)
		if overRatio := f.overRatio(); overRatio > maxOverRatio {
			t.Errorf("seed %d: %.3f of the requests above the promise", seed, overRatio)
		}
	}
}

// Random disagreement: calls that go unanswered for a while, from one router or from all, and
// routers that take others for gone, over and over.
func TestBoundUnderRandomDisagreement(t *testing.T) {
	for seed := range sched.Seeds(5) {
		f := newFleet(seed, smallFleet)
		f.traffic(25*time.Millisecond, 400*time.Millisecond)
		f.every(700*time.Millisecond, f.injectDisagreement)
		f.runFor(3 * time.Second)
		f.overRatio()
		for range 4 {
			f.runFor(5 * time.Second)
			if overRatio := f.overRatio(); overRatio > maxOverRatio {
				t.Errorf("seed %d: %.3f of the requests above the promise", seed, overRatio)
			}
		}
	}
}

// disagree starts one disagreement that ends by itself.
func (f *fleet) injectDisagreement() {
	b := f.members[f.rng.IntN(len(f.members))]
	duration := time.Duration(500+f.rng.IntN(4000)) * time.Millisecond
	switch f.rng.IntN(3) {
	case 0:
		level := f.rng.IntN(4)
		b.unanswered = func(ident.Router) bool { return f.rng.IntN(4) <= level }
		f.after(duration, func() { b.unanswered = nil })
	case 1:
		for _, other := range f.members {
			if other != b {
				other.unanswered = func(to ident.Router) bool { return to == b.id }
				f.after(duration, func() { other.unanswered = nil })
			}
		}
	default:
		removed := f.assigned.Home(id)
		if removed == b.id {
			return
		}
		f.setLive(b, slices.DeleteFunc(slices.Clone(f.names), func(n ident.Router) bool { return n == removed }))
		f.after(duration, func() { f.setLive(b, f.names) })
	}
}

// split starts the traffic and returns the home that some routers are to pass over.
func (f *fleet) startTraffic(t *testing.T, seed uint64) ident.Router {
	t.Helper()
	f.traffic(25*time.Millisecond, 400*time.Millisecond)
	f.runFor(3 * time.Second)
	if overRatio := f.overRatio(); overRatio > maxOverRatio {
		t.Errorf("seed %d: %.3f of the requests above the promise with one home", seed, overRatio)
	}
	return f.assigned.Home(id)
}

// otherThan returns a box that is none of some.
func (f *fleet) memberExcept(excluded ...ident.Router) *member {
	return f.members[slices.IndexFunc(f.members, func(b *member) bool { return !slices.Contains(excluded, b.id) })]
}

// expectBound watches the promise and the home's count while routers disagree.
func (f *fleet) expectBound(t *testing.T, seed uint64) {
	t.Helper()
	f.runFor(3 * time.Second)
	f.overRatio()
	f.runFor(5 * time.Second)
	if overRatio := f.overRatio(); overRatio > maxOverRatio {
		t.Errorf("seed %d: %.3f of the requests above the promise", seed, overRatio)
	}
	permits, _ := f.member(f.assigned.Home(id)).homes.InFlight()
	if held := f.total(); permits > held*3/2 {
		t.Errorf("seed %d: the home counts %d permits, and %d are held", seed, permits, held)
	}
}

// total is what all engines hold.
func (f *fleet) total() int {
	total := 0
	for _, n := range f.held {
		total += n
	}
	return total
}
