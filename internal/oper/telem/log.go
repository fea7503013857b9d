package telem

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
)

// NewLogger returns a logger of JSON lines from a level on, each with the router's id.
func NewLogger(w io.Writer, from string, router ident.Router) log.Logger {
	logger := newLineLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "router", string(router))
	return level.NewFilter(logger, level.Allow(level.ParseDefault(from, level.InfoValue())))
}
