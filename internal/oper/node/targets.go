package node

import (
	"bytes"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

// targetRow is the decoded contents of one write of a target's row. A row with an error is no valid
// target. A version alone does not identify a write, since a store that is restored from an older
// snapshot assigns versions again.
type targetRow struct {
	version table.Version
	value   []byte
	target  Target
	err     error
	// service is the target's own service. The service of target.Box is the one under which the
	// target is kept during a rollout.
	service ident.Service
	// reportedIncarnation is the incarnation as reported by the target.
	reportedIncarnation ident.Incarnation
	// removedAt is when the row was removed, or zero if it exists.
	removedAt time.Time
}

// valid reports whether the row exists and contains a valid target.
func (r targetRow) valid() bool { return r.err == nil && r.removedAt.IsZero() && r.target.ID != "" }

// matches reports whether the row is the write that was decoded.
func (r targetRow) matches(row table.Row) bool {
	return r.version == row.Version && bytes.Equal(r.value, row.Value)
}

// removedRowTTL is how long the contents of a removed row are kept. A target that restarts is back
// within seconds and has to get a different incarnation.
const removedRowTTL = time.Minute

// removal is the removal of a row.
type removal struct {
	key table.Key
	at  time.Time
}

// updateTargets applies the targets' rows that changed. It returns the changes of targets, and the
// addresses of those that have restarted under the same names. Its cost depends only on the number
// of changes: with 10,000 targets, some of which change at any moment, a pass over all of them for
// each change would be most of a router's work.
func (s *state) updateTargets(change feed.Change) (update peer.TargetChanges, restarted []string) {
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
			update.Removed = append(update.Removed, ident.Target(row.Key))
		}
	}
	for _, key := range change.Removed {
		before, known := s.targetRows[key]
		if !known || !before.removedAt.IsZero() {
			continue
		}
		after := before
		after.removedAt = now
		s.replaceRow(key, before, after, change.At)
		s.removed = append(s.removed, removal{key: key, at: now})
		update.Removed = append(update.Removed, ident.Target(key))
	}
	s.evictRemoved(now)
	return update, restarted
}

// replaceRow replaces the decoded contents of a row, counts its target and logs the change. The
// caller holds the lock.
func (s *state) replaceRow(key table.Key, before, after targetRow, at table.Position) {
	s.targetRows[key] = after
	s.countTarget(before, -1)
	s.countTarget(after, 1)
	s.countVersion(before, after)
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

// countTarget adds by to the count of the target's service if the target accepts new work.
func (s *state) countTarget(r targetRow, by int) {
	if r.valid() && r.target.State == boxes.Live {
		s.liveTargets[r.target.Service] += by
	}
}

// countVersion counts the versions of the targets before and after a change of a row.
func (s *state) countVersion(before, after targetRow) {
	if s.origins == nil {
		return
	}
	if after.valid() {
		s.origins.TargetAdded(after.origin())
	}
	if before.valid() {
		s.origins.TargetRemoved(before.origin())
	}
}

// origin returns the origin of the streams that begin at the target.
func (r targetRow) origin() origin.Origin {
	return origin.Origin{Service: r.service, Version: r.target.Version}
}

// evictRemoved evicts rows that were removed more than removedRowTTL ago. The caller holds the
// lock.
func (s *state) evictRemoved(now time.Time) {
	for len(s.removed) > 0 && now.Sub(s.removed[0].at) >= removedRowTTL {
		first := s.removed[0]
		s.removed = s.removed[1:]
		if s.targetRows[first.key].removedAt.Equal(first.at) {
			delete(s.targetRows, first.key)
		}
	}
}

// decodeTarget decodes a row whose contents have changed. A target that restarts reports a later
// time, unless its clock was set back. The resulting incarnation is above the previous one in
// either case.
func (s *state) decodeTarget(row table.Row, before targetRow) targetRow {
	target, err := s.rows.Target(row)
	r := targetRow{version: row.Version, value: row.Value, target: target, err: err, service: target.Service, reportedIncarnation: target.Incarnation}
	r.target.Service = s.serviceName(target.Service, target.Version)
	switch {
	case err != nil:
		_ = level.Error(s.logger).Log("msg", "invalid target row", "target", row.Key, "era", row.Era, "version", row.Version, "err", err)
		// If the target's own row returns, it continues from this incarnation.
		r.reportedIncarnation, r.target.Incarnation = before.reportedIncarnation, before.target.Incarnation
	case before.reportedIncarnation == r.reportedIncarnation:
		r.target.Incarnation = before.target.Incarnation
	case before.reportedIncarnation != 0:
		r.target.Incarnation = max(r.reportedIncarnation, before.target.Incarnation+1)
	}
	return r
}

// restarted returns the address of a known target that has restarted, or nothing.
func (s *state) restarted(before, after targetRow) []string {
	if !before.valid() || before.target.Incarnation == after.target.Incarnation {
		return nil
	}
	_ = level.Info(s.logger).Log("msg", "target restarted", "target", after.target.ID,
		"incarnation", after.target.Incarnation, "was", before.target.Incarnation)
	return []string{before.target.Addr}
}

// reassign moves targets to the services to which rollouts now assign them, and returns the targets
// that changed.
func (s *state) reassign() (update peer.TargetChanges) {
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
