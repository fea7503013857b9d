package telem

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
)

// NewLogger returns a logger that writes JSON lines of at least the given level to w. Each line
// contains the time and the id of the router. An unknown level is treated as info.
func NewLogger(w io.Writer, minLevel string, router ident.Router) log.Logger {
	logger := newJSONLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "router", string(router))
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}
