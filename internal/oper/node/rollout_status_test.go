package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
)

// rolloutAt returns the order to roll out version v2, read in an era from a row with a version. Its numbers differ
// between eras, as those of the platform do.
func rolloutAt(era table.Era, row uint64) canary.Order {
	number := func(era table.Era) uint64 { return uint64(era)*1000 + row }
	o := canary.Order{Service: testService, Version: "v2", Period: 10 * time.Second, Era: era, Number: number(era)}
	for e := range era {
		o.FormerNumbers = append(o.FormerNumbers, number(e))
	}
	return o
}

// statusIn returns the status of an order, read in an era from a row with version 9.
func statusIn(era table.Era, o canary.Order, state canary.State) map[ident.Service]statusRow {
	return map[ident.Service]statusRow{testService: {
		Status:  canary.Status{Service: testService, Version: o.Version, State: state, Number: o.Number, Era: era},
		version: 9,
	}}
}

// statusRouter is the part of a router that follows rollouts, with a clock that tests advance.
type statusRouter struct {
	*rollouts
	now time.Time
}

func newStatusRouter() *statusRouter {
	r := &statusRouter{now: time.Unix(1000, 0)}
	r.rollouts = newRollouts(maxCanaryRatio, 1, log.NewNopLogger(), func() time.Time { return r.now })
	return r
}

// read applies what the store has in an era.
func (r *statusRouter) read(era table.Era, o canary.Order, statuses map[ident.Service]statusRow) {
	r.setRollouts([]canary.Order{o}, era)
	r.setStatuses(statuses)
}

// written returns the state that the router writes, with the number of the order and the version of the row that it
// replaces, or nothing.
func (r *statusRouter) written(era table.Era) (out []any) {
	r.now = r.now.Add(2 * verdictRetryDelay)
	for _, v := range r.verdicts(era) {
		out = append(out, v.State, v.Number, v.version)
	}
	return out
}

// Guards against a decided rollout that counts as undecided after a rollback of the store: its row is read again in
// a later era and has another number, and the store may have lost the status or have an earlier one.
func TestDecidedRolloutAfterStoreRollback(t *testing.T) {
	before, after := rolloutAt(1, 5), rolloutAt(2, 5)
	names := map[canary.State][]ident.Service{canary.Done: {"s+retired", "s"}, canary.Reverted: {"s", "s+retired"}}
	for state, wantNames := range names {
		kept := statusIn(2, before, state)
		for _, c := range []struct {
			name     string
			lives    bool
			statuses map[ident.Service]statusRow
			want     []any
		}{
			{"router lives, status kept", true, kept, []any{state, after.Number, table.Version(9)}},
			{"router lives, status not read yet", true, statusIn(1, before, state), []any{state, after.Number, table.Version(0)}},
			{"router lives, status lost", true, nil, []any{state, after.Number, table.Version(0)}},
			{"router lives, earlier status", true, statusIn(2, before, canary.Active), []any{state, after.Number, table.Version(9)}},
			{"router lives, written again as undecided", true, statusIn(2, after, canary.Active), []any{state, after.Number, table.Version(9)}},
			{"router lives, written again", true, statusIn(2, after, state), nil},
			{"router lives, status of a later order", true, statusIn(2, rolloutAt(2, 7), canary.Active), nil},
			{"router starts, status kept", false, kept, []any{state, after.Number, table.Version(9)}},
			{"router starts, written again", false, statusIn(2, after, state), nil},
		} {
			r := newStatusRouter()
			if c.lives {
				r.read(1, before, statusIn(1, before, state))
			}
			r.read(2, after, c.statuses)
			if diff := cmp.Diff(wantNames, []ident.Service{r.serviceName(testService, "v1"), r.serviceName(testService, "v2")}); diff != "" {
				t.Errorf("%s, %s: names: %s", state, c.name, diff)
			}
			if diff := cmp.Diff(c.want, r.written(2)); diff != "" {
				t.Errorf("%s, %s: written: %s", state, c.name, diff)
			}
		}
	}
}

// Guards against an order that gets no trial since an earlier one for the same version was reverted: the store, which
// has lost the earlier one, may give it the same row version.
func TestOrderWrittenAgainGetsTrial(t *testing.T) {
	for name, again := range map[string]canary.Order{"same row version": rolloutAt(2, 5), "later row version": rolloutAt(2, 8)} {
		r := newStatusRouter()
		first := rolloutAt(1, 5)
		reverted := statusIn(1, first, canary.Reverted)
		r.read(1, first, reverted)
		// The rows that the store has lost stay effective for some time.
		r.read(2, first, reverted)
		if got := r.written(2); got != nil {
			t.Errorf("%s: the status of an order that the store has lost is written: %v", name, got)
		}
		r.read(2, again, reverted)
		if got := r.serviceName(testService, "v2"); got != testService+canarySuffix {
			t.Errorf("%s: the ordered version is kept as %s", name, got)
		}
		if diff := cmp.Diff([]any{canary.Active, again.Number, table.Version(0)}, r.written(2)); diff != "" {
			t.Errorf("%s: written: %s", name, diff)
		}
	}
}

// Guards against a trial that begins anew, without its time and evidence, when the store is rolled back without
// losing the order.
func TestTrialContinuesAfterStoreRollback(t *testing.T) {
	r := newStatusRouter()
	r.read(1, rolloutAt(1, 5), nil)
	for range 1000 {
		as := r.Choose(testService)
		r.RecordSent(testService, as)
		r.Finished(testService, as, "route", true, time.Millisecond)
	}
	r.now = r.now.Add(5 * time.Second)
	after := rolloutAt(2, 5)
	r.read(2, after, nil)
	r.now = r.now.Add(4 * time.Second)
	if diff := cmp.Diff([]any{canary.Done, after.Number, table.Version(0)}, r.written(2)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a service that is refused as a whole because all its targets have a version of which is not known
// that its rollout was done.
func TestServiceWithOnlyCanaries(t *testing.T) {
	r := newStatusRouter()
	only := true
	r.hasOnlyCanaries = func(ident.Service) bool { return only }
	r.read(1, rolloutAt(1, 5), nil)
	chosen := func() []ident.Service { return []ident.Service{r.Choose(testService), r.Default(testService)} }
	const canaryName = testService + canarySuffix
	if diff := cmp.Diff([]ident.Service{canaryName, canaryName}, chosen()); diff != "" {
		t.Error(diff)
	}
	only = false
	if diff := cmp.Diff([]ident.Service{testService, testService}, chosen()); diff != "" {
		t.Errorf("service has other targets: %s", diff)
	}
	only = true
	r.MergeReports([]canary.Report{{Number: rolloutAt(1, 5).Number, Source: 2, Evidence: canary.Evidence{Answers: 100, Poor: 100, Expected: 1}}})
	if diff := cmp.Diff([]ident.Service{testService, testService}, chosen()); diff != "" {
		t.Errorf("version is bad: %s", diff)
	}
}
