package telem

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewServerLog returns a log for an HTTP server's own complaints, which are mostly about
// what callers do: they become debug lines.
func NewServerLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(debugWriter{logger}, "", 0)
}

// debugWriter makes a debug line of each write.
type debugWriter struct{ logger log.Logger }

// Write logs one line.
func (w debugWriter) Write(p []byte) (int, error) {
	_ = level.Debug(w.logger).Log("msg", strings.TrimSpace(string(p)))
	return len(p), nil
}
