package pace

import (
	"slices"
	"time"

	"valescale/internal/plat/decay"
)

const (
	// halfLife is the half-life of measured paces. An engine finishes several requests per second, so
	// that about ten of them count.
	halfLife = 2 * time.Second
	// PresentTTL is how long a reported pace applies after the target reported it. Other work on a
	// target's machine comes and goes within some hundred milliseconds.
	PresentTTL = 500 * time.Millisecond
	// maxReports is the number of reported paces that determine the lasting one, and reportInterval
	// the minimum time between two of them. They cover more than twice PresentTTL, so that a short
	// disturbance does not count as lasting.
	maxReports     = 8
	reportInterval = 150 * time.Millisecond
	// reportTTL is how long a reported pace counts while there are later ones.
	reportTTL = 5 * time.Second
	// minMeasured is the minimum usual time of finished work from which a measured pace is known.
	// Single answers vary too much.
	minMeasured = time.Second
	// contradiction is the ratio between measured and reported pace from which the reported one is
	// corrected. Work beside other requests and under short disturbances takes up to half as long again
	// on a healthy target.
	contradiction = 1.8
	// probeDelay is how long the pace of a slow target is kept without a report. The next short
	// request is then sent there as if the target were as fast as others, so that its recovery is
	// seen.
	probeDelay = 1200 * time.Millisecond
	// probeDelayAny is the same for requests of any length, in case there are no short ones.
	probeDelayAny = 1800 * time.Millisecond
	// probeWork is the maximum usual time of a short request. A caller hardly notices if it takes
	// several times as long.
	probeWork = 200 * time.Millisecond
)

// Gauge estimates the pace of one target. The zero value is a target of unknown pace.
type Gauge struct {
	// reported is the latest reported pace, as of reportedAt.
	reported   Pace
	reportedAt time.Time
	// reports are the latest reported paces. The next one replaces that at the index next.
	reports [maxReports]reportedPace
	next    int
	// usual is the pace that the target reported in a third of the recent reports or better. Short
	// disturbances only slow a target down, so the better reports show what it can do.
	usual Pace
	// took and expected add up the times of finished work in seconds. They decay with halfLife and
	// are as of decayedAt.
	took      float64
	expected  float64
	decayedAt time.Time
	// lastReportAt is the time of the latest report, or of the request that was sent to see whether the
	// target has recovered.
	lastReportAt time.Time
}

// reportedPace is a pace that a target reported.
type reportedPace struct {
	pace Pace
	at   time.Time
}

// Known reports whether anything was reported about the target.
func (g *Gauge) Known() bool { return !g.lastReportAt.IsZero() }

// Add adds a report. Implausible values are ignored.
func (g *Gauge) Add(now time.Time, r Report) {
	reported := r.Reported.Valid()
	measured := r.Expected > 0 && (Pace(r.Took) / Pace(r.Expected)).Valid()
	if !reported && !measured {
		return
	}
	if measured {
		kept := decay.Factor(now.Sub(g.decayedAt), halfLife)
		g.took = g.took*kept + r.Took.Seconds()
		g.expected = g.expected*kept + r.Expected.Seconds()
		g.decayedAt = now
	}
	if reported {
		g.addReported(reportedPace{pace: r.Reported, at: now.Add(-max(r.Age, 0))})
	}
	if reported || g.reported == 0 {
		// The time of finished work does not show the present pace of a target that reports it.
		g.lastReportAt = now
	}
}

// addReported adds a reported pace.
func (g *Gauge) addReported(t reportedPace) {
	if t.at.After(g.reportedAt) {
		g.reported, g.reportedAt = t.pace, t.at
	}
	last := g.reports[(g.next+maxReports-1)%maxReports]
	if last.pace > 0 && t.at.Sub(last.at) < reportInterval {
		return
	}
	g.reports[g.next] = t
	g.next = (g.next + 1) % maxReports
	g.updateUsual(t.at)
}

// updateUsual computes the usual reported pace from the recent reports.
func (g *Gauge) updateUsual(now time.Time) {
	recent := make([]Pace, 0, maxReports)
	for _, t := range g.reports {
		if t.pace > 0 && now.Sub(t.at) <= reportTTL {
			recent = append(recent, t.pace)
		}
	}
	slices.Sort(recent)
	g.usual = recent[(len(recent)-1)/3]
}

// averageMeasured returns the average measured pace.
func (g *Gauge) averageMeasured(now time.Time) (p Pace, known bool) {
	if g.expected < minMeasured.Seconds() || g.expected*decay.Factor(now.Sub(g.decayedAt), halfLife) < minMeasured.Seconds() {
		return 0, false
	}
	return Pace(g.took / g.expected).clamp(), true
}

// Lasting returns the pace that applies beyond the next fraction of a second, or zero if it is
// unknown. The reported pace is corrected if finished work took much longer than it says.
func (g *Gauge) Lasting(now time.Time, l Level) Pace {
	reported, hasReported := g.usual, g.usual > 0
	measured, hasMeasured := g.averageMeasured(now)
	ratio := Usual
	if hasMeasured && l.measured > 0 {
		ratio = measured / l.measured
	}
	if !hasReported {
		if !hasMeasured || ratio < contradiction && ratio > 1/contradiction {
			return 0
		}
		return ratio
	}
	if ratio >= contradiction {
		return (reported * ratio).clamp()
	}
	return reported
}

// MarkProbe records that a request was sent to the target, which is as good as a report for deciding
// when to send the next one to a slow target.
func (g *Gauge) MarkProbe(now time.Time) {
	if g.Known() && now.Sub(g.lastReportAt) > probeDelay {
		g.lastReportAt = now
	}
}

// Estimate returns the estimated pace for a request that usually takes the given time.
func (g *Gauge) Estimate(now time.Time, l Level, work time.Duration) Estimate {
	usual := l.reported
	if usual == 0 {
		usual = Usual
	}
	lasting := g.Lasting(now, l)
	if lasting == 0 {
		return Estimate{Lasting: usual, present: usual}
	}
	silence := now.Sub(g.lastReportAt)
	if silence > probeDelayAny || silence > probeDelay && work <= probeWork {
		lasting = min(lasting, usual)
	}
	e := Estimate{Lasting: lasting, present: lasting}
	if age := now.Sub(g.reportedAt); g.reported > 0 && age < PresentTTL {
		// A target that reports less than was measured is slow whatever it reports.
		e.present = g.reported * lasting / max(g.usual, minPace)
		if lasting <= g.usual {
			e.present = g.reported
		}
		e.presentFor = PresentTTL - age
	}
	return e
}

// Estimate is the estimated pace of a target.
type Estimate struct {
	// Lasting is the pace after presentFor, present the pace until then.
	Lasting    Pace
	present    Pace
	presentFor time.Duration
}

// Time returns how long work takes that usually takes the given time and begins after a delay.
func (e Estimate) Time(delay, work time.Duration) time.Duration {
	left := max(e.presentFor-delay, 0)
	done := time.Duration(float64(left) / float64(e.present))
	if work <= done {
		return time.Duration(float64(work) * float64(e.present))
	}
	return left + time.Duration(float64(work-done)*float64(e.Lasting))
}
