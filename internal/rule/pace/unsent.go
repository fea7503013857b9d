package pace

import (
	"maps"
	"time"

	"valescale/internal/plat/ident"
)

// Unsent holds the reports about targets that were not sent yet, one for each target. A nil Unsent
// is empty.
type Unsent struct {
	reports map[ident.TargetHash]unsentReport
}

// unsentReport is a report whose age is as of a time.
type unsentReport struct {
	Report
	at time.Time
}

// Add adds a report.
func (u *Unsent) Add(now time.Time, r Report) {
	if u.reports == nil {
		u.reports = map[ident.TargetHash]unsentReport{}
	}
	before := u.reports[r.Target]
	before.Age += now.Sub(before.at)
	before.Target = r.Target
	u.reports[r.Target] = unsentReport{Report: before.merge(r), at: now}
}

// Take returns all reports with their present ages, and removes them.
func (u *Unsent) Take(now time.Time) []Report {
	if u == nil || len(u.reports) == 0 {
		return nil
	}
	out := make([]Report, 0, len(u.reports))
	for _, r := range u.reports {
		r.Age += now.Sub(r.at)
		out = append(out, r.Report)
	}
	clear(u.reports)
	return out
}

// Remove removes the reports about some targets.
func (u *Unsent) Remove(targets func(ident.TargetHash) bool) {
	maps.DeleteFunc(u.reports, func(target ident.TargetHash, _ unsentReport) bool { return targets(target) })
}
