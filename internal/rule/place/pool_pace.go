package place

import (
	"maps"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// engineGauge estimates the pace of one incarnation of an engine.
type engineGauge struct {
	pace.Gauge
	incarnation ident.Incarnation
}

// RecordPace records what this router learned about the pace of an engine.
func (p *Pool) RecordPace(now time.Time, report pace.Report) {
	e := p.roster.find(report.Target)
	if e == nil {
		return
	}
	g := p.gauges[report.Target]
	if g == nil || g.incarnation != e.Incarnation {
		g = &engineGauge{incarnation: e.Incarnation}
		p.gauges[report.Target] = g
	}
	g.Add(now, report)
}

// removeGauges removes the gauges of engines that were removed or restarted.
func (p *Pool) removeGauges() {
	maps.DeleteFunc(p.gauges, func(hash ident.TargetHash, g *engineGauge) bool {
		e := p.roster.find(hash)
		return e == nil || e.Incarnation != g.incarnation
	})
}

// usualPace returns the usual pace of the pool's engines.
func (p *Pool) usualPace(now time.Time) pace.Level {
	if now.Sub(p.levelAt) < levelInterval {
		return p.level
	}
	gauges := make([]*pace.Gauge, 0, len(p.gauges))
	for _, g := range p.gauges {
		gauges = append(gauges, &g.Gauge)
	}
	p.level, p.levelAt = pace.NewLevel(now, gauges), now
	return p.level
}

// slowRatio is the ratio to the usual pace from which a router without a home avoids an engine. It
// sees few answers of each engine, so smaller differences are uncertain.
const slowRatio = 1.5

// isSlow reports whether an engine is much slower than others at present.
func (p *Pool) isSlow(now time.Time, engine ident.TargetHash, work time.Duration) bool {
	g := p.gauges[engine]
	if g == nil {
		return false
	}
	level := p.usualPace(now)
	usual := (&pace.Gauge{}).Estimate(now, level, work)
	return g.Estimate(now, level, work).Time(0, work) > time.Duration(slowRatio*float64(usual.Time(0, work)))
}
