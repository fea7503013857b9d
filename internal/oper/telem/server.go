package telem

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewServerLog returns the error log of an HTTP server. Its messages mostly concern faults of
// callers, so they are logged at debug level.
func NewServerLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(debugWriter{logger}, "", 0)
}

// debugWriter logs each write as a message at debug level.
type debugWriter struct{ logger log.Logger }

// Write logs p without surrounding white space.
func (w debugWriter) Write(p []byte) (int, error) {
	_ = level.Debug(w.logger).Log("msg", strings.TrimSpace(string(p)))
	return len(p), nil
}
