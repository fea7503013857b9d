package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
)

// Load: a third of the engines is lastingly slower. Callers need their answers as soon as the engines
// can make them: requests take less time than without known paces, and engines three times slower
// get few of them while the others have room. The load bound holds throughout.
func TestSlowEnginesGetLess(t *testing.T) {
	for _, c := range []struct {
		factor, ratio, maxShare, maxTime float64
	}{
		{1.3, 0.4, 0.34, 1.02}, {1.3, 0.8, 0.34, 1.02}, {3, 0.4, 0.1, 0.75}, {3, 0.6, 0.2, 0.85},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("factor=%v/ratio=%v/seed=%d", c.factor, c.ratio, seed), func(t *testing.T) {
				blind, m := newPacedShard(seed, slowThird(c.factor)), newPacedShard(seed, slowThird(c.factor))
				blind.quiet = true
				for _, shard := range []*pacedShard{blind, m} {
					shard.runFor(4*time.Second, c.ratio)
					shard.reset()
					shard.runFor(4*time.Second, c.ratio)
				}
				share, ratio := m.slowShare(everyThird), float64(m.meanTime())/float64(blind.meanTime())
				t.Logf("share of slow engines %.3f, without paces %.3f; mean time %v, without paces %v", share, blind.slowShare(everyThird), m.meanTime(), blind.meanTime())
				if share > c.maxShare || ratio > c.maxTime {
					t.Errorf("share of slow engines %.3f, want at most %.2f; time %.2f of that without paces, want at most %.2f", share, c.maxShare, ratio, c.maxTime)
				}
				if m.highest > 0 {
					t.Errorf("an engine exceeded the bound by %.1f requests", m.highest/float64(ident.OneRequest))
				}
			})
		}
	}
}

// Load: other work slows each engine by 2.5 for 600 ms of every four seconds, and reports are 100 to
// 400 ms old. Requests must not take longer than without reports, and must not leave their cached
// prefixes: the disturbance is over before the next request of the chat.
func TestShortDisturbances(t *testing.T) {
	disturbed := func(engine int, now time.Time) float64 {
		if (now.UnixMilli()+int64(engine)*4000/paceEngines)%4000 < 600 {
			return 2.5
		}
		return 1
	}
	for seed := range uint64(3) {
		blind, m := newPacedShard(seed, disturbed), newPacedShard(seed, disturbed)
		blind.quiet = true
		for _, shard := range []*pacedShard{blind, m} {
			shard.runFor(6*time.Second, 0.5)
			shard.reset()
			shard.runFor(8*time.Second, 0.5)
		}
		if ratio := float64(m.meanTime()) / float64(blind.meanTime()); ratio > 1.01 {
			t.Errorf("seed %d: requests take %.3f of the time without reports", seed, ratio)
		}
		if m.highest > 0 {
			t.Errorf("seed %d: an engine exceeded the bound by %.1f requests", seed, m.highest/float64(ident.OneRequest))
		}
	}
}

// Failure: reported figures lie. An engine that claims to be ten times faster than others, and one that
// claims the usual pace, are three times slower. Their requests show it: they get few, and the bound
// holds.
func TestLyingEngines(t *testing.T) {
	const tooFast, unchanged = 4, 9
	for seed := range uint64(3) {
		m := newPacedShard(seed, func(engine int, _ time.Time) float64 {
			if engine == tooFast || engine == unchanged {
				return 3
			}
			return 1
		})
		m.reportedBy = func(engine int) (pace.Pace, bool) {
			if engine == tooFast {
				return 0.1, true
			}
			return pace.Usual, engine == unchanged
		}
		m.runFor(4*time.Second, 0.4)
		m.reset()
		m.runFor(4*time.Second, 0.4)
		share := m.slowShare(func(engine int) bool { return engine == tooFast || engine == unchanged })
		if share > 0.5*2/paceEngines {
			t.Errorf("seed %d: two slow engines get %.3f of the requests", seed, share)
		}
		if m.highest > 0 {
			t.Errorf("seed %d: an engine exceeded the bound by %.1f requests", seed, m.highest/float64(ident.OneRequest))
		}
	}
}

// Load: all engines become three times slower. Nothing may change, because no engine is better than
// another: each gets about the same share as before.
func TestAllEnginesSlowAlike(t *testing.T) {
	shares := func(factor float64) float64 {
		m := newPacedShard(1, func(int, time.Time) float64 { return factor })
		m.runFor(3*time.Second, 0.5/factor)
		m.reset()
		m.runFor(8*time.Second, 0.5/factor)
		return m.slowShare(everyThird)
	}
	usual, slow := shares(1), shares(3)
	if diff := usual - slow; diff > 0.05 || diff < -0.05 {
		t.Errorf("a third of the engines gets %.2f of the requests at the usual pace, %.2f if all are slow", usual, slow)
	}
}

// Load: slow engines recover. They get at least half of their share back within two seconds.
func TestRecoveredEnginesGetTheirShare(t *testing.T) {
	recoversAt := start.Add(6 * time.Second)
	m := newPacedShard(1, func(engine int, now time.Time) float64 {
		if now.Before(recoversAt) {
			return slowThird(3)(engine, now)
		}
		return 1
	})
	m.runFor(6*time.Second, 0.5)
	m.runFor(2*time.Second, 0.5)
	m.reset()
	m.runFor(2*time.Second, 0.5)
	want := 0.5 * float64((paceEngines+2)/3) / paceEngines
	if got := m.slowShare(everyThird); got < want {
		t.Errorf("recovered engines get %.2f of the requests after two seconds, want at least %.2f", got, want)
	}
}

// newPacedHome returns a home whose first engine is known to be three times slower, and its engines.
func newPacedHome() (*place.Home, []place.Engine) {
	h, list := newHome(4)
	for i, e := range list {
		reported := pace.Usual
		if i == 0 {
			reported = 3
		}
		h.RecordPaces(start, []pace.Report{{Target: e.Hash, Reported: reported, Age: pace.PresentTTL}})
	}
	return h, list
}

// timedRequest returns a permit request with a usual time of a second.
func timedRequest(permit uint64) place.Request {
	req := permitRequest(permit, ident.ChatKey(permit))
	req.Effort.Make = time.Second
	return req
}

// Failure: a home ends. Its standby has its paces from the last digest and places the first request
// as the home would have.
func TestStandbyKnowsPaces(t *testing.T) {
	h, list := newPacedHome()
	d := h.Digest()
	d.Paces = h.Paces(start)
	standby := place.NewHome(id, "router-c", place.DefaultBound, 0)
	standby.SetEngines(list, []int{4})
	standby.Merge(start, d)
	for permit := range uint64(3) {
		if got := standby.Place(start, timedRequest(permit+1)).Engine; got == list[0].Hash {
			t.Errorf("request %d went to the slow engine", permit+1)
		}
	}
	if diff := cmp.Diff(h.Paces(start), standby.Paces(start)); diff != "" {
		t.Error(diff)
	}
	// What a home received itself is more recent than a digest.
	behind := place.NewHome(id, "router-d", place.DefaultBound, 0)
	behind.SetEngines(list, []int{4})
	behind.RecordPaces(start, []pace.Report{{Target: list[0].Hash, Reported: 4}})
	behind.Merge(start, d)
	if got := behind.Paces(start)[0].Pace; got != 4 {
		t.Errorf("pace %v after a digest, want the received 4", got)
	}
}

// Failure: an engine starts again under its name. Its pace is not known.
func TestRestartedEngineHasNoPace(t *testing.T) {
	h, list := newPacedHome()
	list[0].Incarnation++
	h.SetEngines(list, []int{4})
	for _, p := range h.Paces(start) {
		if p.Engine == list[0].Hash {
			t.Errorf("the restarted engine has pace %v", p.Pace)
		}
	}
}

// Failure: two routers act as home of one shard, and only one knows the paces. Together they keep the
// bound.
func TestTwoHomesWithDifferentPaces(t *testing.T) {
	h, list := newPacedHome()
	other := place.NewHome(id, "router-c", place.DefaultBound, 0)
	other.SetEngines(list, []int{4})
	for permit := range uint64(40) {
		h.Place(start, timedRequest(2*permit+1))
		other.Place(start, timedRequest(2*permit+2))
		h.Merge(start, other.Digest())
		other.Merge(start, h.Digest())
	}
	for _, e := range list {
		if got := excess(h, list, e.Hash); got > 1 {
			t.Errorf("engine %s exceeds the bound by %.1f requests", e.ID, got)
		}
	}
}

// A request whose first byte would be late goes to another engine than the one with its prefix, and
// one that is in time stays.
func TestLateRequestLeavesItsPrefix(t *testing.T) {
	h, list := newPacedHome()
	bound := place.DefaultBound
	bound.Extra = 10 * ident.OneRequest
	h.SetBound(bound)
	first := timedRequest(1)
	warm := h.Place(start, first).Engine
	long := timedRequest(2)
	long.Key, long.Effort.Read = first.Key, 200*time.Millisecond
	h.Place(start, long)
	for permit, c := range []struct {
		due  time.Duration
		want place.Rule
	}{{2 * time.Second, place.WithinBound}, {200 * time.Millisecond, place.LeftLate}} {
		req := timedRequest(uint64(permit) + 3)
		req.Key, req.Due = first.Key, c.due
		d := h.Place(start, req)
		if got := d.Basis.Rule; got != c.want {
			t.Errorf("due in %v: rule %s, want %s", c.due, got, c.want)
		}
		if stays := d.Engine == warm; stays != (c.want == place.WithinBound) {
			t.Errorf("due in %v: engine %d of %v, prefix on %d", c.due, d.Engine, list, warm)
		}
		h.Release(req.Edge, req.Permit)
	}
}

// Load: many new chats arrive at once on an empty fleet. Each prompt takes 160 ms to read. No engine
// gets several prompts while another has none.
func TestPromptsAreSpreadOverEngines(t *testing.T) {
	h, list := newHome(paceEngines)
	for _, e := range list {
		h.RecordPaces(start, []pace.Report{{Target: e.Hash, Reported: pace.Usual}})
	}
	placed := map[ident.TargetHash]int{}
	for i := range uint64(paceEngines) {
		req := timedRequest(i + 1)
		req.MustPlace, req.Effort.Prefix = true, 160*time.Millisecond
		placed[h.Place(start, req).Engine]++
	}
	for engine, n := range placed {
		if n > 1 {
			t.Errorf("engine %d reads %d prompts while others are idle", engine, n)
		}
	}
}

// Failure: requests end before an engine has read their prompts, which their home does not see. The
// engine counts as busy for a bounded time.
func TestUnreadPromptsAreForgotten(t *testing.T) {
	list := engines(2)
	h := pacedHomeOf(list)
	for permit := range uint64(20) {
		req := timedRequest(permit + 1)
		req.Avoid, req.Effort.Prefix = []ident.TargetHash{list[1].Hash}, time.Second
		if d := h.Place(start, req); d.Engine != list[0].Hash {
			t.Fatalf("request %d: %+v", permit, d)
		}
		h.Release(req.Edge, req.Permit)
	}
	req := timedRequest(100)
	req.Due, req.Avoid = 200*time.Millisecond, []ident.TargetHash{list[1].Hash}
	first := h.Place(start, req)
	later := start.Add(3*time.Second + time.Millisecond)
	req = timedRequest(101)
	req.Key, req.Due = 100, 200*time.Millisecond
	if d := h.Place(later, req); d.Engine != first.Engine || d.Basis.Rule != place.WithinBound {
		t.Errorf("request goes to engine %d by rule %s, want the engine with its prefix", d.Engine, d.Basis.Rule)
	}
}

func BenchmarkPlacePaced(b *testing.B) {
	for _, n := range []int{8, 20, 30} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			h, request := benchmarkHome(n)
			for _, e := range engines(n) {
				h.RecordPaces(start, []pace.Report{{Target: e.Hash, Reported: 1.3}})
			}
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				h.Place(start, request(i))
				h.Release("router-b", 1_000_000+i)
			}
		})
	}
}

// pacedHomeOf returns a home of the given engines, all of usual pace.
func pacedHomeOf(list []place.Engine) *place.Home {
	bound := place.DefaultBound
	bound.Extra, bound.PreferredFactor = 10*ident.OneRequest, 1.3
	h := place.NewHome(id, "router-a", bound, 0)
	h.SetEngines(list, []int{len(list)})
	for _, e := range list {
		h.RecordPaces(start, []pace.Report{{Target: e.Hash, Reported: pace.Usual, Age: pace.PresentTTL}})
	}
	return h
}

// Failure: all routers end at once, and with them the places of all chats. Chats that return find the
// engine with their prefix, or it is named as the one to copy from: reading all prompts again at once
// would delay everybody.
func TestRecoveringHomeFindsPrefixes(t *testing.T) {
	const chats = 500
	list := engines(paceEngines)
	before, after := pacedHomeOf(list), pacedHomeOf(list)
	after.SetRecovering(start.Add(10 * time.Second))
	returning := func(permit uint64) place.Request {
		req := timedRequest(permit)
		req.Effort.Prefix, req.Parent = 100*time.Millisecond, ident.ChatKey(1+permit%5)
		return req
	}
	found, copied := 0, 0
	for permit := range uint64(chats) {
		// Before, the chats came one after the other; now they return at once.
		at, soon := start.Add(time.Duration(permit)*10*time.Millisecond), start.Add(time.Duration(permit)*time.Millisecond)
		again := returning(permit + 1)
		again.Due = 300 * time.Millisecond
		was, now := before.Place(at, returning(permit+1)), after.Place(soon, again)
		before.Release("router-b", permit+1)
		after.Release("router-b", permit+1)
		switch was.Engine {
		case now.Engine:
			found++
		case now.Holder:
			copied++
		}
	}
	if found+copied < chats*95/100 || found < chats/2 {
		t.Errorf("of %d chats %d found their engine, %d were to copy from it", chats, found, copied)
	}
}

// The first part of a prompt is shared by many chats. A new chat copies it from an engine that has it
// instead of reading it again.
func TestParentPartIsCopied(t *testing.T) {
	list := engines(paceEngines)
	h := pacedHomeOf(list)
	place := func(permit uint64) (engine, holder ident.TargetHash) {
		req := timedRequest(permit)
		req.Parent = 7
		d := h.Place(start, req)
		return d.Engine, d.Holder
	}
	first, _ := place(1)
	has := map[ident.TargetHash]bool{first: true}
	copied := 0
	for permit := range uint64(20) {
		engine, holder := place(permit + 2)
		if has[engine] || has[holder] {
			copied++
		}
		has[engine] = true
	}
	// A chat on the second engine of its hash order copies from the first one, which may have its own part.
	if copied < 15 {
		t.Errorf("%d of 20 chats have the first part or are to copy it", copied)
	}
}

// Failure: all routers end at once, and many chats return in the same moment. Their prompts are cached
// at the first engine of their hash order; a home that took them for unread would expect queues of
// reading there and send chats away.
func TestReturningChatsStayInHashOrder(t *testing.T) {
	const chats = 2 * paceEngines
	list := engines(paceEngines)
	recovering := func() *place.Home {
		h := pacedHomeOf(list)
		h.SetRecovering(start.Add(10 * time.Second))
		return h
	}
	all, moved := recovering(), 0
	for permit := range uint64(chats) {
		req := timedRequest(permit + 1)
		req.Effort.Prefix, req.Due = 200*time.Millisecond, 450*time.Millisecond
		if all.Place(start, req).Engine != recovering().Place(start, req).Engine {
			moved++
		}
	}
	if moved > chats/20 {
		t.Errorf("%d of %d returning chats left the first engine of their hash order", moved, chats)
	}
}

// The counter of waits beside room depends on it: room counts in another shard only, with a recent load.
func TestHasRoomElsewhere(t *testing.T) {
	list := engines(8)
	for i := range list {
		list[i].Slots = ident.OneRequest
	}
	p := place.NewPool("judge@co", 2, place.DefaultBound)
	p.SetEngines(list)
	slots := ident.Work(p.Weights()[1]) * ident.OneRequest
	room := func(now time.Time) bool { return p.HasRoomElsewhere(now, 0, ident.OneRequest) }
	got := []bool{room(start)}
	p.UpdateShardLoad(start, place.ShardLoad{Shard: 0})
	got = append(got, room(start))
	p.UpdateShardLoad(start, place.ShardLoad{Shard: 1, Work: slots - ident.OneRequest})
	got = append(got, room(start), room(start.Add(time.Minute)))
	p.UpdateShardLoad(start.Add(time.Second), place.ShardLoad{Shard: 1, Work: slots})
	got = append(got, room(start.Add(time.Second)))
	if diff := cmp.Diff([]bool{false, false, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}
