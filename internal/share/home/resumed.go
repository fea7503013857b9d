package home

import (
	"slices"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
)

// maxResumed is the maximum number of requests of a shard that wait for engines of one version. Each
// release of a permit tries all of them.
const maxResumed = 64

// enqueueResumed lets a request wait that only engines of one version may run. It does so beside the
// queue: at its head the request would hold back those that other engines can run. It is placed before
// the queued ones, since its caller already has a part of the answer.
func (s *shard) enqueueResumed(now time.Time, w *queuedRequest) (PermitResponse, *queuedRequest) {
	if len(s.resumed) >= maxResumed && !s.shedResumed(now, w.req.Workspace) {
		return s.rejection(now, w.req, Shed), nil
	}
	s.resumed = append(s.resumed, w)
	return PermitResponse{}, w
}

// shedResumed rejects the latest waiting request of the workspace that has the most, unless that is the given one,
// for which it makes room. It reports whether it did.
func (s *shard) shedResumed(now time.Time, workspace ident.Workspace) bool {
	counts := map[ident.Workspace]int{}
	latest := s.resumed[0]
	for _, w := range s.resumed {
		counts[w.req.Workspace]++
	}
	for _, w := range s.resumed {
		if counts[w.req.Workspace] >= counts[latest.req.Workspace] {
			latest = w
		}
	}
	if counts[latest.req.Workspace] <= counts[workspace]+1 {
		return false
	}
	s.removeResumed(latest)
	latest.response <- s.rejection(now, latest.req, Shed)
	return true
}

// dispatchResumed places the waiting requests whose engines have room.
func (s *shard) dispatchResumed(now time.Time) {
	s.resumed = slices.DeleteFunc(s.resumed, func(w *queuedRequest) bool {
		d := s.home.Place(now, w.req.Request)
		if d.Result != place.Placed && d.Result != place.Empty {
			return false
		}
		w.response <- s.response(now, w.req.Edge, d)
		return true
	})
}

// removeResumed removes a request that no longer waits.
func (s *shard) removeResumed(w *queuedRequest) {
	s.resumed = slices.DeleteFunc(s.resumed, func(other *queuedRequest) bool { return other == w })
}

// redirectResumed sends the waiting requests to the new home of the shard.
func (s *shard) redirectResumed() {
	for _, w := range s.resumed {
		w.response <- PermitResponse{Result: Moved}
	}
	s.resumed = nil
}

// waiting returns the number of waiting requests.
func (s *shard) waiting() int { return s.queue.Len() + len(s.resumed) }
