package place_test

import (
	"math/rand/v2"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
)

// The parameters are those of the home of half of 60 engines, which hears of them through 30 edge
// routers.
const (
	paceEngines = 28
	paceSlots   = 8
	paceWork    = 400 * time.Millisecond
	// pacePrefixes is the number of prompt prefixes, 18 for each engine.
	pacePrefixes = 18 * paceEngines
	prefixTime   = 20 * time.Millisecond
)

// pacedShard simulates a home and its engines in virtual time, in steps of a millisecond. The engines
// work on all their requests at once, each at its own pace.
type pacedShard struct {
	now     time.Time
	rng     *rand.Rand
	home    *place.Home
	engines []place.Engine
	// paceAt returns the pace of an engine.
	paceAt func(engine int, now time.Time) float64
	// reportedBy returns the pace that an engine reports in place of its true one; nil means the true one.
	reportedBy func(engine int) (pace.Pace, bool)
	// reports are the paces on their way to the home, by the time of their arrival in ms. If quiet is
	// set none are sent.
	reports map[int64][]pace.Report
	quiet   bool
	running []*pacedRequest
	permit  uint64
	// placed and took are the requests and their total times, by engine. highest is the highest excess
	// over the bound.
	placed  []int
	took    []time.Duration
	highest float64
}

// pacedRequest is a request with the part of its work that is left, in usual milliseconds.
type pacedRequest struct {
	permit uint64
	engine int
	sentAt time.Time
	left   float64
	// expected is the time that it takes at the pace that its engine reported.
	expected time.Duration
}

func newPacedShard(seed uint64, paceAt func(int, time.Time) float64) *pacedShard {
	m := &pacedShard{
		now: start, rng: rand.New(rand.NewPCG(seed, seed)), paceAt: paceAt, reports: map[int64][]pace.Report{},
		engines: engines(paceEngines), placed: make([]int, paceEngines), took: make([]time.Duration, paceEngines),
	}
	for i := range m.engines {
		m.engines[i].Slots = paceSlots * ident.OneRequest
	}
	bound := place.BoundOf(1.9)
	bound.Extra, bound.PreferredFactor, bound.MaxPlaces = 5*ident.OneRequest/2, 1.3, 100_000
	m.home = place.NewHome(id, "router-a", bound, 0)
	m.home.SetEngines(m.engines, []int{paceEngines})
	return m
}

// arrive places one request with a random prefix.
func (m *pacedShard) arrive() {
	m.permit++
	req := permitRequest(m.permit, ident.ChatKey(1+m.rng.IntN(pacePrefixes)))
	req.MustPlace = true
	req.Effort = pace.Effort{Prefix: prefixTime, Make: paceWork}
	d := m.home.Place(m.now, req)
	if d.Result != place.Placed {
		return
	}
	for i, e := range m.engines {
		if e.Hash != d.Engine {
			continue
		}
		left := paceWork * time.Duration(500+m.rng.IntN(1000)) / 1000
		if !d.Warm {
			left += prefixTime
		}
		m.running = append(m.running, &pacedRequest{permit: m.permit, engine: i, sentAt: m.now, left: float64(left.Milliseconds()), expected: time.Duration(float64(left) * float64(m.reported(i)))})
		m.placed[i]++
		m.report(i, pace.Report{Reported: m.reported(i)})
		total := ident.Work(len(m.running)) * ident.OneRequest
		limit := 1.9*float64(total)/paceEngines + float64(5*ident.OneRequest/2+ident.OneRequest)
		m.highest = max(m.highest, float64(m.home.LoadOf(e.Hash))-limit)
	}
}

// reported returns the pace that an engine reports at present.
func (m *pacedShard) reported(engine int) pace.Pace {
	if m.reportedBy != nil {
		if p, lies := m.reportedBy(engine); lies {
			return p
		}
	}
	return pace.Pace(m.paceAt(engine, m.now))
}

// report sends a report that arrives after 100 to 400 ms, the time until an edge router next requests
// a permit.
func (m *pacedShard) report(engine int, r pace.Report) {
	if m.quiet {
		return
	}
	delay := time.Duration(100+m.rng.IntN(300)) * time.Millisecond
	r.Target, r.Age = m.engines[engine].Hash, delay
	at := m.now.Add(delay).UnixMilli()
	m.reports[at] = append(m.reports[at], r)
}

// step advances the clock by a millisecond.
func (m *pacedShard) step() {
	m.now = m.now.Add(time.Millisecond)
	m.home.RecordPaces(m.now, m.reports[m.now.UnixMilli()])
	delete(m.reports, m.now.UnixMilli())
	kept := m.running[:0]
	for _, r := range m.running {
		r.left -= 1 / m.paceAt(r.engine, m.now)
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		m.home.Release("router-b", r.permit)
		m.took[r.engine] += m.now.Sub(r.sentAt)
		m.report(r.engine, pace.Report{Took: m.now.Sub(r.sentAt), Expected: r.expected})
	}
	m.running = kept
}

// runFor sends requests at a ratio to what all engines can serve at the usual pace.
func (m *pacedShard) runFor(d time.Duration, ratio float64) {
	perStep := ratio * paceEngines * paceSlots / float64(paceWork.Milliseconds())
	pending := 0.0
	for end := m.now.Add(d); m.now.Before(end); m.step() {
		for pending += perStep; pending >= 1; pending-- {
			m.arrive()
		}
	}
}

// reset clears the counts.
func (m *pacedShard) reset() {
	clear(m.placed)
	clear(m.took)
}

// meanTime returns the average time of a request.
func (m *pacedShard) meanTime() time.Duration {
	var took time.Duration
	placed := 0
	for i := range m.placed {
		took += m.took[i]
		placed += m.placed[i]
	}
	return took / time.Duration(max(placed, 1))
}

// slowShare returns the share of the requests that went to the given engines.
func (m *pacedShard) slowShare(slow func(int) bool) float64 {
	on, all := 0, 0
	for i, n := range m.placed {
		all += n
		if slow(i) {
			on += n
		}
	}
	return float64(on) / float64(max(all, 1))
}

func everyThird(engine int) bool { return engine%3 == 0 }

// slowThird returns the paces of engines a third of which are slower than the others.
func slowThird(factor float64) func(int, time.Time) float64 {
	return func(engine int, _ time.Time) float64 {
		if everyThird(engine) {
			return factor
		}
		return 1
	}
}
