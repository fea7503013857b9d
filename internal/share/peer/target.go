package peer

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
)

// Target is one engine or plain service replica.
type Target struct {
	ID          ident.Target
	Addr        string
	Service     ident.Service
	Zone        ident.Zone
	Region      ident.Region
	Incarnation ident.Incarnation
	Leaving     bool
	// Joined is when this incarnation was first seen here; zero for those of the first list.
	Joined time.Time
}

// Mark says that one incarnation of a target is leaving.
type Mark struct {
	Target      ident.Target
	Incarnation ident.Incarnation
}

// targetEntry is what is known of a target.
type targetEntry struct {
	Target
	// missing counts the lists in a row that did not have the target.
	missing int
	// returns counts how often it came back lately, which lengthens its slow start.
	returns  int
	returned time.Time
	gone     bool
}

// markEntry is the mark of a target with how it has been passed on.
type markEntry struct {
	incarnation ident.Incarnation
	at          time.Time
	sent        int
}

const (
	// flapMemory is how long a return counts against a target.
	flapMemory = time.Minute
	// maxFlapDelay bounds how much longer a flapping target's slow start gets.
	maxFlapDelay = time.Minute
	// flapStep is how much longer each return makes it.
	flapStep = 10 * time.Second
)

// ObserveList takes in the platform's list of boxes.
func (v *View) ObserveList(now time.Time, list []boxes.Box) {
	seen := make(map[ident.Target]bool, len(list))
	v.onList = map[ident.Router]bool{}
	for _, b := range list {
		switch b.Role {
		case boxes.RouterRole:
			v.onList[ident.Router(b.ID)] = b.State == boxes.Live
			v.observeRouter(now, b)
		case boxes.TargetRole:
			seen[ident.Target(b.ID)] = true
			v.observeTarget(now, b)
		}
	}
	v.noteMissing(seen)
	v.listed = true
}

// noteMissing counts the lists that lack a target, which is gone after some.
func (v *View) noteMissing(seen map[ident.Target]bool) {
	for id, t := range v.targets {
		if seen[id] {
			t.missing = 0
			continue
		}
		t.missing++
		if t.missing >= v.limits.MissingLists && !t.gone {
			t.gone = true
			v.targetChanged(id)
		}
	}
}

// targetChanged counts a change of a target.
func (v *View) targetChanged(id ident.Target) {
	v.version++
	v.targetChanges.note(id)
}

// TargetNews is what is new of the targets.
type TargetNews struct {
	// Boxes are those of targets that are new or say something else.
	Boxes []boxes.Box
	// Gone are targets that are there no more.
	Gone []ident.Target
}

// ObserveTargets takes in what is new of the targets since the last call, in place of lists of all boxes. Whatever
// a box says that the view does not keep has changed too.
func (v *View) ObserveTargets(now time.Time, news TargetNews) {
	for _, b := range news.Boxes {
		v.observeTarget(now, b)
		v.targetChanged(ident.Target(b.ID))
	}
	for _, id := range news.Gone {
		if t, known := v.targets[id]; known && !t.gone {
			t.gone = true
			v.targetChanged(id)
		}
	}
	v.listed = true
}

// ObserveRouters takes in the routers of a list that says nothing of targets.
func (v *View) ObserveRouters(now time.Time, list []boxes.Box) {
	for _, b := range list {
		if b.Role == boxes.RouterRole {
			v.observeRouter(now, b)
		}
	}
}

// observeRouter learns of a router that no peer has told of yet. The list lags, so
// it never overrules what the router or its peers say. A list that names the router's incarnation says what that says
// of itself at first: routers that read the same list have nothing to tell each other.
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

// observeTarget takes in what a list says of a target, unless it is of an earlier incarnation.
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
	if !known || b.Incarnation > t.Incarnation || t.gone {
		t.Joined = v.joined(now, t, known)
		v.targetChanged(id)
	}
	t.ID, t.Addr, t.Service, t.Zone, t.Region = id, b.Addr, b.Service, b.Zone, b.Region
	t.Incarnation = b.Incarnation
	t.gone = false
	if b.State == boxes.Leaving {
		v.MarkLeaving(now, Mark{Target: id, Incarnation: b.Incarnation})
	}
}

// joined is when the slow start of a target begins that has just come, or come back if known.
func (v *View) joined(now time.Time, t *targetEntry, known bool) time.Time {
	joined := now
	if !v.listed {
		joined = time.Time{}
	}
	if known {
		joined = joined.Add(t.flap(now))
	}
	return joined
}

// flap notes a return and says how much later than now the slow start begins.
func (t *targetEntry) flap(now time.Time) time.Duration {
	if now.Sub(t.returned) > flapMemory {
		t.returns = 0
	}
	t.returns++
	t.returned = now
	return min(time.Duration(t.returns-1)*flapStep, maxFlapDelay)
}

// MarkLeaving notes that an incarnation of a target is leaving. This is never
// taken back; a later incarnation starts anew.
func (v *View) MarkLeaving(now time.Time, m Mark) bool {
	known, ok := v.marks[m.Target]
	if ok && known.incarnation >= m.Incarnation {
		return false
	}
	v.marks[m.Target] = &markEntry{incarnation: m.Incarnation, at: now}
	v.targetChanged(m.Target)
	return true
}

// Targets returns the targets of a service in a region, in order of id.
func (v *View) Targets(service ident.Service, region ident.Region) []Target {
	var out []Target
	for _, t := range v.targets {
		if t.Service != service || t.Region != region || t.gone {
			continue
		}
		out = append(out, v.marked(t))
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Target returns a target that is there.
func (v *View) Target(id ident.Target) (Target, bool) {
	t, known := v.targets[id]
	if !known || t.gone {
		return Target{}, false
	}
	return v.marked(t), true
}

// marked is a target as its row and the marks say.
func (v *View) marked(t *targetEntry) Target {
	target := t.Target
	if m, ok := v.marks[target.ID]; ok && m.incarnation >= target.Incarnation {
		target.Leaving = true
	}
	return target
}

// Regions returns the regions that have targets of a service, in order of name.
func (v *View) Regions(service ident.Service) []ident.Region {
	seen := map[ident.Region]bool{}
	var out []ident.Region
	for _, t := range v.targets {
		if t.Service == service && !t.gone && !seen[t.Region] {
			seen[t.Region] = true
			out = append(out, t.Region)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
