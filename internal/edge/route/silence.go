package route

import (
	"maps"
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// silences are the silences of targets, for the homes of their shards. They count as failures there until the target
// answers again.
type silences struct {
	// current are the targets that were silent and have not answered since.
	current map[ident.TargetHash]bool
	// unsent are those of the unsent failures that are silences, unsentAnswers the targets that have answered after one.
	unsent        map[place.ShardID][]ident.TargetHash
	unsentAnswers map[place.ShardID][]ident.TargetHash
}

func newSilences() silences {
	return silences{
		current: map[ident.TargetHash]bool{}, unsent: map[place.ShardID][]ident.TargetHash{},
		unsentAnswers: map[place.ShardID][]ident.TargetHash{},
	}
}

// remove removes what is known of some targets.
func (s *silences) remove(removed func(ident.TargetHash) bool) {
	maps.DeleteFunc(s.current, func(hash ident.TargetHash, _ bool) bool { return removed(hash) })
	for _, lists := range []map[place.ShardID][]ident.TargetHash{s.unsent, s.unsentAnswers} {
		for id := range lists {
			lists[id] = slices.DeleteFunc(lists[id], removed)
		}
	}
}

// take returns what is unsent for the home of a shard.
func (s *silences) take(id place.ShardID) (silent, answered []ident.TargetHash) {
	silent, answered = s.unsent[id], s.unsentAnswers[id]
	delete(s.unsent, id)
	delete(s.unsentAnswers, id)
	return silent, answered
}

// putBack queues again what a home has not received.
func (s *silences) putBack(id place.ShardID, silent, answered []ident.TargetHash) {
	s.unsent[id] = append(silent, s.unsent[id]...)
	s.unsentAnswers[id] = append(answered, s.unsentAnswers[id]...)
}

// ReportSilent records that a request sent at the given time got no answer within the time limit. If
// nothing at all has arrived from the target since then, its circuit breaker opens and ReportSilent
// returns true.
func (r *Router) ReportSilent(target ident.TargetHash, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastReceived[target].Before(since) {
		return false
	}
	r.silences.current[target] = true
	r.recordSilence(target)
	now := r.clock()
	r.breaker(now, target).TripSilent(now)
	return true
}

// ReportGivenUp records an attempt that was given up because its target was silent. It is a failure of the target like
// others if the target answers other requests.
func (r *Router) ReportGivenUp(target ident.TargetHash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silences.current[target] {
		r.recordSilence(target)
	} else {
		r.recordFailure(target)
	}
	now := r.clock()
	r.breaker(now, target).Report(now, false)
}

// recordSilence keeps a failure for which a target was only silent. The caller holds the lock.
func (r *Router) recordSilence(target ident.TargetHash) {
	if !r.recordFailure(target) {
		return
	}
	id, _ := r.shardOf(target)
	r.silences.unsent[id] = append(r.silences.unsent[id], target)
}

// endSilence takes back the silences of a target that has answered, here and at the home of its shard. The caller holds
// the lock.
func (r *Router) endSilence(target ident.TargetHash) {
	if !r.silences.current[target] {
		return
	}
	delete(r.silences.current, target)
	id, known := r.shardOf(target)
	if !known {
		return
	}
	for range r.silences.unsent[id] {
		r.dropUnsentSilence(id, target)
	}
	r.silences.unsentAnswers[id] = append(r.silences.unsentAnswers[id], target)
}

// dropUnsentSilence removes one silence of a target that was not sent, if there is one. The caller holds the lock.
func (r *Router) dropUnsentSilence(id place.ShardID, target ident.TargetHash) {
	unsent, failures := r.silences.unsent[id], r.unsentFailures[id]
	silence, failure := slices.Index(unsent, target), slices.Index(failures, target)
	if silence < 0 || failure < 0 {
		return
	}
	r.silences.unsent[id] = slices.Delete(unsent, silence, silence+1)
	r.unsentFailures[id] = slices.Delete(failures, failure, failure+1)
}
