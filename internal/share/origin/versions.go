package origin

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// presence is the presence of a version among the targets of a service.
type presence struct {
	targets int
	// goneAt is when the last target went.
	goneAt time.Time
	// recorded is set once the version was seen in the table of versions.
	recorded bool
}

// versions counts the targets of each version of each service. It is not safe for concurrent use.
type versions struct {
	services map[ident.Service]map[ident.Version]presence
	// since is when the first target of a service was counted.
	since map[ident.Service]time.Time
}

func newVersions() *versions {
	return &versions{services: map[ident.Service]map[ident.Version]presence{}, since: map[ident.Service]time.Time{}}
}

// add counts a target.
func (v *versions) add(now time.Time, o Origin) {
	known := v.services[o.Service]
	if known == nil {
		known = map[ident.Version]presence{}
		v.services[o.Service] = known
	}
	if _, counted := v.since[o.Service]; !counted {
		v.since[o.Service] = now
	}
	p := known[o.Version]
	p.targets++
	known[o.Version] = p
}

// remove no longer counts a target.
func (v *versions) remove(now time.Time, o Origin) {
	p, exists := v.services[o.Service][o.Version]
	if !exists {
		return
	}
	p.targets--
	p.goneAt = now
	v.services[o.Service][o.Version] = p
}

// recent returns the versions that a service had within Lifetime, in order, and evicts earlier ones.
func (v *versions) recent(now time.Time, service ident.Service) []ident.Version {
	known := v.services[service]
	var out []ident.Version
	for version, p := range known {
		if p.targets <= 0 && now.Sub(p.goneAt) >= Lifetime {
			delete(known, version)
			continue
		}
		out = append(out, version)
	}
	if len(known) == 0 {
		delete(v.services, service)
		delete(v.since, service)
	}
	slices.Sort(out)
	return out
}

// observed returns for how long the targets of a service have been counted, zero if there is none.
func (v *versions) observed(now time.Time, service ident.Service) time.Duration {
	since, known := v.since[service]
	if !known {
		return 0
	}
	return now.Sub(since)
}

// addRecorded adds a version that is in the table of versions. Without a target it counts as one that has just gone, also
// if this process saw it go before it was suspended: nothing tells whether it was there again since.
func (v *versions) addRecorded(now, wokeAt time.Time, o Origin) {
	known := v.services[o.Service]
	if known == nil {
		known = map[ident.Version]presence{}
		v.services[o.Service] = known
	}
	p, exists := known[o.Version]
	if !exists || p.targets <= 0 && p.goneAt.Before(wokeAt) {
		p.goneAt = now
	}
	p.recorded = true
	known[o.Version] = p
}

// forgetRecorded forgets which versions are in the table of versions.
func (v *versions) forgetRecorded() {
	for _, known := range v.services {
		for version, p := range known {
			p.recorded = false
			known[version] = p
		}
	}
}

// toRecord returns the versions of a service for the table of versions, which has some already: it adds those that
// are missing, and if remove is set, removes those that the service has not had within Lifetime. A version without
// targets that was once in the table is not added again: another router has removed it.
func (v *versions) toRecord(now time.Time, service ident.Service, row []ident.Version, remove bool) []ident.Version {
	recent := v.recent(now, service)
	out := slices.DeleteFunc(slices.Clone(row), func(version ident.Version) bool {
		return remove && !slices.Contains(recent, version)
	})
	for _, version := range recent {
		p := v.services[service][version]
		if p.targets > 0 || !p.recorded {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
