package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readBody reads the request's body, limited by its maximum size and the request deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, j *job) *problem {
	if r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > j.bodyLimit {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: TooLarge}
	}
	control := http.NewResponseController(w)
	// Setting a read deadline does not fail on connections of this server.
	_ = control.SetReadDeadline(j.deadline)
	body, err := readAll(http.MaxBytesReader(w, r.Body, j.bodyLimit), r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		j.body = body
		h.bodyBytes.Add(int64(len(body)))
		return nil
	case errors.As(err, &large):
		return &problem{status: http.StatusRequestEntityTooLarge, reason: TooLarge}
	case r.Context().Err() != nil || !h.Clock().Before(j.deadline):
		return &problem{status: http.StatusRequestTimeout, reason: SlowCaller}
	default:
		return &problem{status: http.StatusBadRequest, reason: BadRequest}
	}
}

// readAll reads a body of the given length; a negative length means unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// releaseBody ends the use of the request's body.
func (h *Handler) releaseBody(j *job) {
	h.bodyBytes.Add(-int64(len(j.body)))
	j.body = nil
}
