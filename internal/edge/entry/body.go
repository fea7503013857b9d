package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/linger"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/memory"
)

// uncountedHeaderSize is the size of a header that is not charged to the memory of the box, since it fits into what a
// connection is charged.
const uncountedHeaderSize = 4 * memory.KB

// readBody reads the request's body, limited by its maximum size, the request deadline and the memory of the box.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, j *job) *problem {
	reserved := h.Memory.Open(memory.Bodies, j.owner())
	j.body = memory.NewBuffer(reserved)
	if extra := memory.Bytes(j.headerSize) - uncountedHeaderSize; extra > 0 && !reserved.Grow(extra) {
		return h.noRoom(int64(extra))
	}
	if r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > min(j.bodyLimit, int64(h.Memory.MaxReservation())) {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: TooLarge}
	}
	if !j.body.HasRoom(r.ContentLength) {
		return h.noRoom(r.ContentLength)
	}
	control := http.NewResponseController(w)
	// Setting a read deadline does not fail on connections of this server.
	_ = control.SetReadDeadline(j.deadline)
	err := j.body.Read(http.MaxBytesReader(w, r.Body, j.bodyLimit), r.ContentLength, j.bodyLimit+1)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return nil
	}
	return h.bodyProblem(r, j, err)
}

// bodyProblem returns the problem for a request whose body could not be read.
func (h *Handler) bodyProblem(r *http.Request, j *job, err error) *problem {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &problem{status: http.StatusRequestEntityTooLarge, reason: TooLarge}
	case fault.KindOf[memory.Kind](err) == memory.Full && j.body.AtMaximum():
		return &problem{status: http.StatusRequestEntityTooLarge, reason: TooLarge}
	case fault.KindOf[memory.Kind](err) == memory.Full:
		return h.noRoom(j.body.Len())
	case r.Context().Err() != nil || !h.Clock().Before(j.deadline):
		return &problem{status: http.StatusRequestTimeout, reason: SlowCaller}
	default:
		return &problem{status: http.StatusBadRequest, reason: BadRequest}
	}
}

// stopRetryAfter is the Retry-After delay of a caller whose request a stopping router does not take: it meets another one.
const stopRetryAfter = 5 * time.Millisecond

// stopProblem returns the problem for a request that is whole only now, while the router stops, and may not be answered
// before the router ends; nil if there is none. No time of an answer is certain but the request's deadline.
func (h *Handler) stopProblem(j *job) *problem {
	if h.Gate == nil || !h.Gate.conns.StopsBefore(j.deadline) {
		return nil
	}
	return &problem{status: http.StatusServiceUnavailable, reason: Stopping, retryAfter: stopRetryAfter}
}

// refuse answers a request whose body was not read to its end.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, j *job, p *problem) {
	j.body.Close()
	linger.Answer(w, r, j.bodyLimit, func() { h.writeProblem(w, j, p) })
}
