package entry

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
)

// Ending is how the answer of an attempt ended.
type Ending string

const (
	// EndMarked means that the answer was received up to the end that its framing marks.
	EndMarked Ending = "marked"
	// EndUnmarked means that the target closed the connection of an answer whose framing marks no end, and
	// that nothing shows that the answer is not complete.
	EndUnmarked Ending = "unmarked"
	// EndInsideEvent means that a stream ended inside an event.
	EndInsideEvent Ending = "inside_event"
	// EndWithoutEvent means that a stream without a marked end had no event.
	EndWithoutEvent Ending = "without_event"
	// EndTargetGone means that an answer without a marked end closed and its target's process has ended.
	EndTargetGone Ending = "target_gone"
	// EndUnread means that the caller disconnected, or did not read, before the end.
	EndUnread Ending = "unread"
	// EndBroken means that the connection broke, or the attempt was given up.
	EndBroken Ending = "broken"
)

// receivedAnswer records the progress of an answer as it is read.
type receivedAnswer struct {
	*relay.Answer
	progress *progress
	// received is called after each read of some bytes; it may be nil.
	received func()
	// watched is the answer's part in the watch of its target's process.
	watched *watchedAnswer
	// hasEvents is set if the answer is forwarded by events.
	hasEvents bool
	// idleTimeout lets another attempt begin while the target is silent; nil if none may.
	idleTimeout *idleTimeout
}

// Read implements io.Reader.
func (a receivedAnswer) Read(p []byte) (int, error) {
	n, err := a.read(p)
	a.progress.bytes += int64(n)
	if n > 0 && a.received != nil {
		a.received()
	}
	switch {
	case err == io.EOF && a.Framing.Marked():
		a.progress.ending = EndMarked
	case err == io.EOF:
		a.progress.ending = EndUnmarked
	case err != nil:
		a.progress.ending = EndBroken
	}
	return n, err
}

// read reads from the answer, or fails once the attempt is given up.
func (a receivedAnswer) read(p []byte) (n int, err error) {
	if a.idleTimeout == nil {
		return a.Answer.Read(p)
	}
	gaveUp := a.idleTimeout.run(func() bool {
		n, err = a.Answer.Read(p)
		return a.progresses(err)
	})
	if gaveUp != nil {
		return 0, gaveUp
	}
	return n, err
}

// progresses reports whether a read that has ended shows that the target goes on. The bytes of a stream may be comments, and an end
// that is not marked may be that of a broken answer.
func (a receivedAnswer) progresses(err error) bool {
	if err == io.EOF {
		return a.Framing.Marked()
	}
	return err == nil && !a.hasEvents
}

// Reasons for which an answer that ended without an error of its connection is not complete.
var (
	errInsideEvent  = errors.New("stream ended inside an event")
	errWithoutEvent = errors.New("stream ended without an event and without a marked end")
	errTargetGone   = errors.New("target's process ended with an answer that has no marked end")
)

// checkStreamEnd returns an error if a stream that has ended is broken. The rest is what was received after
// the last complete event.
func (h *Handler) checkStreamEnd(ctx context.Context, j *job, answer receivedAnswer, rest []byte) error {
	switch {
	case !isEventStream(answer.Header):
		return h.checkEnd(ctx, j, answer)
	case insideEvent(rest):
		j.progress.ending = EndInsideEvent
		return errInsideEvent
	case !answer.Framing.Marked() && j.progress.events == 0 && (j.eventMissing || j.lastEvent == "" && j.call.LastEvent == ""):
		j.progress.ending = EndWithoutEvent
		return errWithoutEvent
	default:
		return h.checkEnd(ctx, j, answer)
	}
}

// checkEnd returns an error if an answer that has ended is broken. Without a marked end, the close of the
// connection may be the end of the answer or that of the target's process. A target that accepts no connections may be a
// leaving one whose process lives until its last answer has ended.
func (h *Handler) checkEnd(ctx context.Context, j *job, answer receivedAnswer) error {
	if answer.Framing.Marked() || answer.watched.endsAsPlanned() {
		return nil
	}
	endedAt := h.Clock()
	if !h.Sender.HasEnded(ctx, j.lastPlacement.Target.Addr, h.Rules.IdleConns(j.service)) || answer.watched.targetLivesOn(ctx, endedAt) {
		return nil
	}
	j.progress.ending = EndTargetGone
	return errTargetGone
}

// setFraming prepares the caller's answer so that its end is marked only if the target marks it. Without a
// length, the HTTP server marks it by chunks. Where only the close of the connection will be the end, the
// kernel must reset it if this process ends before.
func (j *job) setFraming(header http.Header, framing relay.BodyFraming) {
	if !framing.Marked() {
		j.marksEnd = false
		header.Set("Transfer-Encoding", "identity")
	}
	if !j.marksEnd {
		j.caller.setResetOnClose(true)
	}
}

// isEventStream reports whether an answer contains events, which is assumed if it has no type.
func isEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// insideEvent reports whether a part of a stream contains an event or a part of one. Comments and blank lines are none.
func insideEvent(rest []byte) bool {
	atLineStart := true
	for _, c := range rest {
		switch {
		case c == '\r' || c == '\n':
			atLineStart = true
		case atLineStart && c != ':':
			return true
		default:
			atLineStart = false
		}
	}
	return false
}
