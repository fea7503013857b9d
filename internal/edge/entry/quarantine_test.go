package entry

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// A request that is quarantined while it waits for a target must not be sent to the target it then
// gets. Under load many copies of it wait at all routers, and each would crash a target.
func TestQuarantinedWhileWaiting(t *testing.T) {
	upstream := newFakeTarget(t, answer(200, "", "body"))
	s := newSetup(t, newRoute(nil), upstream)
	suspect := ident.NewFingerprint("w", "h", ident.HashRequest("POST", "/x", []byte("body")))
	s.finder.acquire = func(context.Context, route.TargetRequest) (*route.Placement, error) {
		s.handler.Guard.(*guard.Guard).Incoming([]crash.Suspect{{Trait: crash.Request(suspect), Crashes: []crash.Crash{
			{Start: 1, At: time.Now()}, {Start: 2, At: time.Now()},
		}}})
		target := s.finder.targets[0]
		return &route.Placement{Target: target, Hash: target.ID.Hash()}, nil
	}
	got, header := s.call(t, "POST", "/x", "body")
	if diff := cmp.Diff([]any{503, 0}, []any{got.Status, upstream.count()}); diff != "" {
		t.Errorf("status and requests at the target: %s", diff)
	}
	if header.Get("Retry-After") == "" {
		t.Error("the rejection has no Retry-After header")
	}
	if got, _ := s.call(t, "POST", "/x", "another body"); got.Status != 200 {
		t.Errorf("another request: status %d", got.Status)
	}
}

// fakeGuard is a guard with a fixed quarantine time that counts its calls.
type fakeGuard struct {
	quarantine time.Duration
	broke      int
	served     int
	// quarantineAfter is the number of broken answers after which the request is quarantined; zero
	// means never.
	quarantineAfter int
}

func (g *fakeGuard) Quarantine([]crash.Trait) crash.Quarantine {
	return crash.Quarantine{Left: g.quarantine}
}
func (g *fakeGuard) Admit(traits []crash.Trait) crash.Quarantine { return g.Quarantine(traits) }

// Abandon is not counted.
func (g *fakeGuard) Abandon([]crash.Trait) {}

// Served counts the answers that clear a whole request.
func (g *fakeGuard) Served(traits []crash.Trait) {
	if len(traits) > 0 && traits[0].Kind == crash.WholeRequest {
		g.served++
	}
}
func (g *fakeGuard) ReportInterrupted(guard.Interruption) {
	if g.broke++; g.broke == g.quarantineAfter {
		g.quarantine = time.Minute
	}
}

// countAcquires counts the calls of the finder's Acquire.
func countAcquires(s *setup) *int {
	count := 0
	s.finder.acquire = func(ctx context.Context, request route.TargetRequest) (*route.Placement, error) {
		count++
		return (&finder{targets: s.finder.targets}).Acquire(ctx, request)
	}
	return &count
}

// A quarantined request is rejected at once with a Retry-After delay and does not wait for a
// target.
func TestQuarantinedRequestsAreRejected(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, answer(200, "", "body")))
	s.handler.Guard = &fakeGuard{quarantine: time.Minute}
	acquires := countAcquires(s)
	got, header := s.call(t, "POST", "/x", "body")
	if diff := cmp.Diff([]any{503, "60.000", 0}, []any{got.Status, header.Get("Retry-After"), *acquires}); diff != "" {
		t.Errorf("status, Retry-After and acquires: %s", diff)
	}
}

// Once a request is quarantined, no further attempt is made and no target is acquired. The outcome
// remains that it may have run.
func TestNoRetryOnceQuarantined(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, closeUnanswered), newFakeTarget(t, closeUnanswered), newFakeTarget(t, closeUnanswered)}
	s := newSetup(t, newRoute(func(r *match.Route) { r.Repeat, r.Attempts = retry.Safe, 3 }), targets...)
	s.handler.Guard = &fakeGuard{quarantineAfter: 2}
	acquires := countAcquires(s)
	got, _ := s.call(t, "POST", "/x", "body")
	if diff := cmp.Diff([]any{502, 2, 0}, []any{got.Status, *acquires, targets[2].count()}); diff != "" {
		t.Errorf("status, acquires and requests at the third target: %s", diff)
	}
}

// unframed is an answer without a marked end.
func unframed(w *bufio.Writer, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nbody", r.Header.Get("Id"))
	return false
}

// Only an answer whose end can be distinguished from a truncation clears a suspect request.
func TestUnframedAnswersAreNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		serve  responder
		served int
	}{"complete": {answer(200, "", "body"), 1}, "without a length": {unframed, 0}} {
		s := newSetup(t, newRoute(nil), newFakeTarget(t, c.serve))
		guard := &fakeGuard{}
		s.handler.Guard = guard
		got, _ := s.call(t, "POST", "/x", "body")
		if diff := cmp.Diff([]any{200, c.served, 0}, []any{got.Status, guard.served, guard.broke}); diff != "" {
			t.Errorf("%s: status, complete answers and broken answers: %s", name, diff)
		}
	}
}

// Guards against an answer that clears what it says nothing about: a failure clears neither the request nor the
// parts of its prompt, and an answer without a marked end only the parts.
func TestAnswersThatClearParts(t *testing.T) {
	for name, c := range map[string]struct {
		serve responder
		want  []int
	}{
		"complete":       {answer(200, "", "body"), []int{2}},
		"failure":        {answer(500, "", "body"), nil},
		"without an end": {unframed, []int{1}},
	} {
		s := newSetup(t, newRoute(nil), newFakeTarget(t, c.serve))
		guard := &traitGuard{fakeGuard: &fakeGuard{}}
		s.handler.Guard = guard
		s.handler.Dialect = partsDialect{}
		s.call(t, "POST", "/x", "body")
		if diff := cmp.Diff(c.want, guard.cleared); diff != "" {
			t.Errorf("%s: traits cleared by each answer: %s", name, diff)
		}
	}
}

// Guards against a trial that excludes others although its target did not run the request. The request itself goes on
// at another target.
func TestRejectedTrialIsAbandoned(t *testing.T) {
	s := newSetup(t, newRoute(safeRoute), newFakeTarget(t, answer(503, "Not-Run: 1\r\n", "")), newFakeTarget(t, answer(200, "", "body")))
	guard := &trialGuard{fakeGuard: &fakeGuard{}}
	s.handler.Guard = guard
	got, _ := s.call(t, "POST", "/x", "body")
	if diff := cmp.Diff([]int{200, 1, 1}, []int{got.Status, guard.abandoned, guard.served}); diff != "" {
		t.Errorf("status, abandoned trials and answers: %s", diff)
	}
}

// Guards against a request that gets one trial after another for hours because the answers of its service have no
// marked end.
func TestUnframedAnswerOfTrialClearsRequest(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, unframed))
	guard := &trialGuard{fakeGuard: &fakeGuard{}}
	s.handler.Guard = guard
	got, _ := s.call(t, "POST", "/x", "body")
	if diff := cmp.Diff([]int{200, 0, 1}, []int{got.Status, guard.abandoned, guard.served}); diff != "" {
		t.Errorf("status, abandoned trials and answers: %s", diff)
	}
}

// trialGuard is a guard that admits each attempt as a trial, and counts those that are abandoned.
type trialGuard struct {
	*fakeGuard
	abandoned int
}

func (g *trialGuard) Admit([]crash.Trait) crash.Quarantine { return crash.Quarantine{Trial: true} }
func (g *trialGuard) Abandon([]crash.Trait)                { g.abandoned++ }

// partsDialect is a dialect in which each request has a part of a prompt that others share.
type partsDialect struct{ testDialect }

func (d partsDialect) Read(h http.Header) Call {
	call := d.testDialect.Read(h)
	call.Parts = []PromptPart{{ID: "shared"}, {ID: "own"}}
	return call
}

// traitGuard is a guard that records how many traits each answer clears.
type traitGuard struct {
	*fakeGuard
	cleared []int
}

func (g *traitGuard) Served(traits []crash.Trait) { g.cleared = append(g.cleared, len(traits)) }

// Guards against a caller that has the guard remember any number of parts, and against a part of one request that
// counts as shared.
func TestSharedPartsAreLimited(t *testing.T) {
	var got []int
	for _, count := range []int{0, 1, 2, maxParts, 10 * maxParts} {
		got = append(got, len(sharedParts(make([]PromptPart, count))))
	}
	if diff := cmp.Diff([]int{0, 0, 1, maxParts - 1, maxParts}, got); diff != "" {
		t.Error(diff)
	}
}
