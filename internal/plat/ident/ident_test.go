package ident

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/asleep"
)

func TestElapsedCountsSuspension(t *testing.T) {
	start := time.Now()
	got := []time.Duration{
		Elapsed(start, start.Add(time.Second)),
		Elapsed(start, asleep.For(start.Add(time.Second), 4)),
		// The wall clock is set back by 4 s while one second passes.
		Elapsed(asleep.For(start, 4), start.Add(time.Second)),
	}
	if diff := cmp.Diff([]time.Duration{time.Second, 5 * time.Second, time.Second}, got); diff != "" {
		t.Error(diff)
	}
}

// The fingerprint depends on the workspace, host, method, path and body of a request, and on nothing
// that differs between two sends of the same request.
func TestFingerprintsDiffer(t *testing.T) {
	fingerprint := func(workspace Workspace, host, method, path, body string) Fingerprint {
		return NewFingerprint(workspace, host, HashRequest(method, path, []byte(body)))
	}
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		fingerprint("w", "h", "POST", "/a", "body"), fingerprint("w", "h", "POST", "/a", "body"), fingerprint("v", "h", "POST", "/a", "body"),
		fingerprint("w", "g", "POST", "/a", "body"), fingerprint("w", "h", "PUT", "/a", "body"), fingerprint("w", "h", "POST", "/b", "body"),
		fingerprint("w", "h", "POST", "/a", "bodies"),
	} {
		seen[f] = true
	}
	if len(seen) != 6 {
		t.Errorf("got %d distinct fingerprints for 6 different requests", len(seen))
	}
}
