package telem

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// A value that is encoded differently from go-kit's JSON logger would break readers of the logs.
func TestJSONLoggerMatchesLibrary(t *testing.T) {
	var missing *ident.Pool
	records := [][]any{
		{"msg", "request", "router", ident.Router("r-1"), "sends", 2, "key", uint64(math.MaxUint64), "warm", true},
		{"err", errors.New("line\nbreak \"quoted\" \\ é \x01"), "took", 1500 * time.Millisecond, "share", 0.25},
		{"nothing", nil, "no pool", missing, "list", []string{"a", "b"}},
	}
	for _, record := range records {
		var got, want bytes.Buffer
		if err := newJSONLogger(&got).Log(record...); err != nil {
			t.Fatal(err)
		}
		if err := log.NewJSONLogger(&want).Log(record...); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(decode(t, want.Bytes()), decode(t, got.Bytes())); diff != "" {
			t.Errorf("%v: %s", record, diff)
		}
	}
}

func decode(t *testing.T, line []byte) map[string]any {
	t.Helper()
	out := map[string]any{}
	if err := json.Unmarshal(line, &out); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return out
}

func BenchmarkRequestLine(b *testing.B) {
	for _, c := range []struct {
		name   string
		logger log.Logger
	}{{"own", newJSONLogger(io.Discard)}, {"library", log.NewJSONLogger(io.Discard)}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				_ = c.logger.Log("ts", "2026-12-02T18:00:00Z", "router", "edge-1", "level", "info", "msg", "request",
					"request", "8fac649703a04c85", "route", "r-1", "workspace", ident.Workspace("w"), "service", ident.Service("s"),
					"revision", ident.Revision(7), "reason", "overloaded", "status", 503, "sends", 0, "found_ms", int64(3), "first_ms", int64(0))
			}
		})
	}
}
