package node

import (
	"bytes"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// reading is what one writing of a target's row says; a row with an error names no target. A version alone
// does not tell a writing: a store that comes back from an older copy gives versions out again.
type targetRow struct {
	version table.Version
	value   []byte
	target  Target
	err     error
	// service is the target's own; its box names the one under which it is kept while versions are on trial.
	service ident.Service
	// since is the incarnation as the target says it itself.
	reportedIncarnation ident.Incarnation
	// gone is when the row went, zero while it is there.
	removedAt time.Time
}

// names reports whether there is a row and it names a target.
func (r targetRow) valid() bool { return r.err == nil && r.removedAt.IsZero() && r.target.ID != "" }

// same reports whether a row is the writing that was read.
func (r targetRow) matches(row table.Row) bool {
	return r.version == row.Version && bytes.Equal(r.value, row.Value)
}

// goneKept is for how long what a row said is remembered after it has gone: a target that starts
// again is back within seconds, and is to be known for another incarnation.
const removedRowTTL = time.Minute

// departure is a row that went.
type removal struct {
	key table.Key
	at  time.Time
}

// setTargets takes in the targets' rows that changed. It returns what is new of the targets, and the addresses of
// those that have started anew under their names. It costs by what changed: with 10,000 targets of which some
// come every moment, a look at all of them each time was most of what a router did.
func (s *state) updateTargets(change feed.Change) (update peer.TargetNews, restarted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, row := range change.Rows {
		before := s.targetRows[row.Key]
		after := before
		if !before.matches(row) {
			after = s.decodeTarget(row, before)
		}
		after.removedAt = time.Time{}
		s.replaceRow(row.Key, before, after, change.At)
		switch {
		case after.valid():
			update.Boxes = append(update.Boxes, after.target.Box)
			restarted = append(restarted, s.restarted(before, after)...)
		case before.valid():
			update.Gone = append(update.Gone, ident.Target(row.Key))
		}
	}
	for _, key := range change.Gone {
		before, known := s.targetRows[key]
		if !known || !before.removedAt.IsZero() {
			continue
		}
		after := before
		after.removedAt = now
		s.replaceRow(key, before, after, change.At)
		s.removed = append(s.removed, removal{key: key, at: now})
		update.Gone = append(update.Gone, ident.Target(key))
	}
	s.evictRemoved(now)
	return update, restarted
}

// replaceReading puts what a row says in place of what it said, counts its target and logs what changed of it;
// the caller holds the lock.
func (s *state) replaceRow(key table.Key, before, after targetRow, at table.Position) {
	s.targetRows[key] = after
	s.countTarget(before, -1)
	s.countTarget(after, 1)
	s.updateCold(ident.Target(key), after)
	switch {
	case after.valid() && (!before.valid() || before.target.Box != after.target.Box):
		t := after.target
		_ = level.Info(s.logger).Log("msg", "target", "target", t.ID, "state", t.State, "addr", t.Addr,
			"service", t.Service, "zone", t.Zone, "era", at.Era, "version", at.Version)
	case before.valid() && !after.valid():
		_ = level.Info(s.logger).Log("msg", "target", "target", key, "state", "gone", "era", at.Era, "version", at.Version)
	}
}

// count adds a target that takes new work to those of its service, or takes it off.
func (s *state) countTarget(r targetRow, by int) {
	if r.valid() && r.target.State == boxes.Live {
		s.liveTargets[r.target.Service] += by
	}
}

// forgetDeparted forgets the rows that went long ago; the caller holds the lock.
func (s *state) evictRemoved(now time.Time) {
	for len(s.removed) > 0 && now.Sub(s.removed[0].at) >= removedRowTTL {
		first := s.removed[0]
		s.removed = s.removed[1:]
		if s.targetRows[first.key].removedAt.Equal(first.at) {
			delete(s.targetRows, first.key)
		}
	}
}

// readTarget decodes a row that was read otherwise before. A target that starts again tells a later
// time, unless its clock was set back meanwhile: an incarnation is above the one before in any case.
func (s *state) decodeTarget(row table.Row, before targetRow) targetRow {
	target, err := s.rows.Target(row)
	r := targetRow{version: row.Version, value: row.Value, target: target, err: err, service: target.Service, reportedIncarnation: target.Incarnation}
	r.target.Service = s.serviceName(target.Service, target.Version)
	switch {
	case err != nil:
		_ = level.Error(s.logger).Log("msg", "a target's row names no target", "target", row.Key, "era", row.Era, "version", row.Version, "err", err)
		// Should its own row come back, it goes on from here.
		r.reportedIncarnation, r.target.Incarnation = before.reportedIncarnation, before.target.Incarnation
	case before.reportedIncarnation == r.reportedIncarnation:
		r.target.Incarnation = before.target.Incarnation
	case before.reportedIncarnation != 0:
		r.target.Incarnation = max(r.reportedIncarnation, before.target.Incarnation+1)
	}
	return r
}

// restarted is the address at which a known target has started anew, or nothing.
func (s *state) restarted(before, after targetRow) []string {
	if !before.valid() || before.target.Incarnation == after.target.Incarnation {
		return nil
	}
	_ = level.Info(s.logger).Log("msg", "target started anew", "target", after.target.ID,
		"incarnation", after.target.Incarnation, "was", before.target.Incarnation)
	return []string{before.target.Addr}
}

// regroup keeps targets under the services that trials of versions want them under now, and returns those that
// changed.
func (s *state) reassign() (update peer.TargetNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, before := range s.targetRows {
		name := s.serviceName(before.service, before.target.Version)
		if !before.valid() || name == before.target.Service {
			continue
		}
		after := before
		after.target.Service = name
		s.replaceRow(key, before, after, table.Position{Version: before.version})
		update.Boxes = append(update.Boxes, after.target.Box)
	}
	return update
}
