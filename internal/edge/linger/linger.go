package linger

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxServerDiscard is the size up to which the HTTP server itself reads the rest of a body after an answer.
	maxServerDiscard = 256 << 10
	// timeout is how long the rest of a larger body is read after an answer: long enough for a caller that sends,
	// and a small part of a planned stop.
	timeout = 2 * time.Second
)

// Answer calls write, which answers a request whose body was not read to its end, and then reads and discards the
// rest of the body, up to limit bytes. The answer is sent before that.
func Answer(w http.ResponseWriter, r *http.Request, limit int64, write func()) {
	if r.Body == http.NoBody || r.ContentLength >= 0 && r.ContentLength <= maxServerDiscard {
		write()
		return
	}
	control := http.NewResponseController(w)
	// These calls fail only on a closed connection, which needs no answer.
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	write()
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, r.Body, max(limit, maxServerDiscard))
}
