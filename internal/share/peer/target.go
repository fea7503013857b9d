package peer

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
)

// Target is one engine or one replica of a plain service.
type Target struct {
	ID          ident.Target
	Addr        string
	Service     ident.Service
	Zone        ident.Zone
	Region      ident.Region
	Incarnation ident.Incarnation
	Leaving     bool
	// Joined is the time at which the slow start of this incarnation begins: when the router first
	// received it, later if the target flaps, and zero for targets of the first list.
	Joined time.Time
}

// LeavingTarget records that one incarnation of a target is leaving.
type LeavingTarget struct {
	Target      ident.Target
	Incarnation ident.Incarnation
}

// targetEntry is the state of a target in the view.
type targetEntry struct {
	Target
	// missing counts the consecutive lists without the target.
	missing int
	// returns counts how often the target has recently reappeared or restarted, which delays its
	// slow start.
	returns  int
	returned time.Time
	removed  bool
}

// leavingEntry is the leaving incarnation of a target with the number of digests that contained it.
type leavingEntry struct {
	incarnation ident.Incarnation
	at          time.Time
	sent        int
}

const (
	// flapWindow is the time after a return during which a further one increases the delay.
	flapWindow = time.Minute
	// maxFlapDelay limits the delay of a flapping target's slow start.
	maxFlapDelay = time.Minute
	// flapStep is the additional delay per return.
	flapStep = 10 * time.Second
)

// ObserveList updates the view from the platform's list of boxes.
func (v *View) ObserveList(now time.Time, list []boxes.Box) {
	seen := make(map[ident.Target]bool, len(list))
	v.listedLive = map[ident.Router]bool{}
	for _, b := range list {
		switch b.Role {
		case boxes.RouterRole:
			v.listedLive[ident.Router(b.ID)] = b.State == boxes.Live
			v.observeRouter(now, b)
		case boxes.TargetRole:
			seen[ident.Target(b.ID)] = true
			v.observeTarget(now, b)
		}
	}
	v.countMissing(seen)
	v.targetsListed = true
}

// countMissing counts the consecutive lists without a target and removes the target once the limit
// is reached.
func (v *View) countMissing(seen map[ident.Target]bool) {
	for id, t := range v.targets {
		if seen[id] {
			t.missing = 0
			continue
		}
		t.missing++
		if t.missing >= v.limits.MissingLists && !t.removed {
			t.removed = true
			v.targetChanged(id)
		}
	}
}

// targetChanged records a change of a target.
func (v *View) targetChanged(id ident.Target) {
	v.version++
	v.targetChanges.add(id)
}

// TargetChanges contains the changes of targets since the last update.
type TargetChanges struct {
	// Boxes are the boxes of targets that are new or whose data has changed.
	Boxes []boxes.Box
	// Removed are the targets that have been removed.
	Removed []ident.Target
}

// ObserveTargets updates the targets from the changes since the last call, in place of lists of all
// boxes. Every box counts as a change, since data that the view does not keep may have changed too.
func (v *View) ObserveTargets(now time.Time, update TargetChanges) {
	for _, b := range update.Boxes {
		v.observeTarget(now, b)
		v.targetChanged(ident.Target(b.ID))
	}
	for _, id := range update.Removed {
		if t, known := v.targets[id]; known && !t.removed {
			t.removed = true
			v.targetChanged(id)
		}
	}
	v.targetsListed = true
}

// ObserveRouters adds the routers of a list that contains no targets.
func (v *View) ObserveRouters(now time.Time, list []boxes.Box) {
	for _, b := range list {
		if b.Role == boxes.RouterRole {
			v.observeRouter(now, b)
		}
	}
}

// observeRouter adds a router that is not in the view yet. The list lags, so it never overrides
// what the router or its peers report. If the list contains the router's incarnation, the entry
// equals the state that the router first reports of itself, so that routers that read the same list
// have no updates to exchange.
func (v *View) observeRouter(now time.Time, b boxes.Box) {
	id := ident.Router(b.ID)
	if _, known := v.members[id]; known || b.State != boxes.Live {
		return
	}
	m := Member{ID: id, Addr: b.Addr, Zone: b.Zone, Region: b.Region, Incarnation: b.Incarnation, Cores: b.Cores, State: Live}
	if m.Incarnation > 0 {
		m.Seq = firstSeq
	}
	v.setMember(now, m)
	v.members[id].listed = true
}

// observeTarget updates a target from a list, unless the list contains an earlier incarnation.
func (v *View) observeTarget(now time.Time, b boxes.Box) {
	id := ident.Target(b.ID)
	t, known := v.targets[id]
	if known && b.Incarnation < t.Incarnation {
		return
	}
	if !known {
		t = &targetEntry{}
		v.targets[id] = t
	}
	if !known || b.Incarnation > t.Incarnation || t.removed {
		t.Joined = v.slowStart(now, t, known)
		v.targetChanged(id)
	}
	t.ID, t.Addr, t.Service, t.Zone, t.Region = id, b.Addr, b.Service, b.Zone, b.Region
	t.Incarnation = b.Incarnation
	t.removed = false
	if b.State == boxes.Leaving {
		v.MarkLeaving(now, LeavingTarget{Target: id, Incarnation: b.Incarnation})
	}
}

// slowStart returns the time at which the slow start of a target that is new, or has returned if
// known, begins.
func (v *View) slowStart(now time.Time, t *targetEntry, known bool) time.Time {
	slowStart := now
	if !v.targetsListed {
		slowStart = time.Time{}
	}
	if known {
		slowStart = slowStart.Add(t.recordReturn(now))
	}
	return slowStart
}

// recordReturn records a return of the target and returns the delay of its slow start.
func (t *targetEntry) recordReturn(now time.Time) time.Duration {
	if now.Sub(t.returned) > flapWindow {
		t.returns = 0
	}
	t.returns++
	t.returned = now
	return min(time.Duration(t.returns-1)*flapStep, maxFlapDelay)
}

// MarkLeaving records that an incarnation of a target is leaving and reports whether that is new.
// The state is final for the incarnation; a later incarnation starts without it.
func (v *View) MarkLeaving(now time.Time, m LeavingTarget) bool {
	known, ok := v.leaving[m.Target]
	if ok && known.incarnation >= m.Incarnation {
		return false
	}
	v.leaving[m.Target] = &leavingEntry{incarnation: m.Incarnation, at: now}
	v.targetChanged(m.Target)
	return true
}

// Targets returns the targets of a service in a region, in order of id.
func (v *View) Targets(service ident.Service, region ident.Region) []Target {
	var out []Target
	for _, t := range v.targets {
		if t.Service != service || t.Region != region || t.removed {
			continue
		}
		out = append(out, v.withLeaving(t))
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Target returns a target that has not been removed.
func (v *View) Target(id ident.Target) (Target, bool) {
	t, known := v.targets[id]
	if !known || t.removed {
		return Target{}, false
	}
	return v.withLeaving(t), true
}

// withLeaving returns a target with Leaving set if its incarnation is recorded as leaving.
func (v *View) withLeaving(t *targetEntry) Target {
	target := t.Target
	if m, ok := v.leaving[target.ID]; ok && m.incarnation >= target.Incarnation {
		target.Leaving = true
	}
	return target
}

// Regions returns the regions that have targets of a service, in order of name.
func (v *View) Regions(service ident.Service) []ident.Region {
	seen := map[ident.Region]bool{}
	var out []ident.Region
	for _, t := range v.targets {
		if t.Service == service && !t.removed && !seen[t.Region] {
			seen[t.Region] = true
			out = append(out, t.Region)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
