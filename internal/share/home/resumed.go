package home

import (
	"slices"
	"time"

	"valescale/internal/rule/place"
)

// maxResumed is the maximum number of requests of a shard that wait for engines of one version. Each
// release of a permit tries all of them.
const maxResumed = 64

// enqueueResumed lets a request wait that only engines of one version may run. It does so beside the
// queue: at its head the request would hold back those that other engines can run. It is placed before
// the queued ones, since its caller already has a part of the answer.
func (s *shard) enqueueResumed(now time.Time, w *queuedRequest) (PermitResponse, *queuedRequest) {
	if len(s.resumed) >= maxResumed {
		return s.rejection(now, w.req, Shed), nil
	}
	s.resumed = append(s.resumed, w)
	return PermitResponse{}, w
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
