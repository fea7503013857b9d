package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/match"
)

// trials follow operators' orders to move services to other versions. Each router lets a share of its requests try
// the version and tells the others what came of them; a reader of the store writes what all of it together says.
type rollouts struct {
	// share is the part of a service's requests that may try a version; zero follows no orders.
	canaryRatio float64
	// source tells this process's evidence from that of others.
	source uint64
	logger log.Logger
	clock  ident.Clock

	mu sync.Mutex
	// open are the latest orders by service, statuses what the store says became of them.
	current  map[ident.Service]*rollout
	statuses map[ident.Service]statusRow
	// abandoned are versions whose trial another order ended, by service: nobody knows whether they are sound.
	superseded map[ident.Service]map[ident.Version]bool
	baselines  map[match.RouteName]*canary.Norm
	// next is whose evidence is told next.
	nextReport int
}

// trial is one order as this router follows it.
type rollout struct {
	order canary.Order
	// seen is when this router learnt of the order.
	receivedAt time.Time
	gate       canary.Gate
	own        canary.Evidence
	// heard is the evidence of other routers, by source.
	peerEvidence map[uint64]canary.Evidence
	// stopped is set once the evidence has shown the version to be bad, and logged.
	stopped bool
	// judged is when this router gave its last verdict to be written.
	verdictAt time.Time
}

// written is a status with the version of its row.
type statusRow struct {
	canary.Status
	version table.Version
}

const (
	// trialMargin is what of the allowed share routers use: tries that are made again reach targets too.
	canaryRatioMargin = 0.6
	// canarySuffix and retiredSuffix make names of services of their own of the targets of a version on trial, and of
	// those that get no work.
	canarySuffix  = "+canary"
	retiredSuffix = "+retired"
	// mostReports is how many routers' evidence one digest carries.
	maxReportsPerDigest = 16
	// judgeAgain is how long a verdict has to reach the store and come back before it is written again.
	verdictRetryDelay = time.Second
	// judgeEvery is how often evidence is looked at, a small part of the seconds in which a bad version must be given up.
	judgeInterval = 200 * time.Millisecond
)

// newTrials returns trials without orders.
func newRollouts(canaryRatio float64, source uint64, logger log.Logger, clock ident.Clock) *rollouts {
	return &rollouts{
		canaryRatio: canaryRatio * canaryRatioMargin, source: source, logger: logger, clock: clock, current: map[ident.Service]*rollout{},
		statuses: map[ident.Service]statusRow{}, superseded: map[ident.Service]map[ident.Version]bool{},
		baselines: map[match.RouteName]*canary.Norm{},
	}
}

// follows reports whether orders are followed at all.
func (t *rollouts) enabled() bool { return t.canaryRatio > 0 }

// setOrders takes in all orders, and reports whether they are others than before.
func (t *rollouts) setRollouts(orders []canary.Order) (changed bool) {
	if !t.enabled() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.current {
		if !slices.ContainsFunc(orders, func(o canary.Order) bool { return o.Service == service }) {
			delete(t.current, service)
			changed = true
		}
	}
	for _, o := range orders {
		known := t.current[o.Service]
		if known != nil && known.order.Number == o.Number {
			continue
		}
		t.supersede(known, o)
		t.current[o.Service] = &rollout{order: o, receivedAt: t.clock(), gate: canary.NewGate(t.canaryRatio), peerEvidence: map[uint64]canary.Evidence{}}
		changed = true
		_ = level.Info(t.logger).Log("msg", "service is to move to a version", "service", o.Service, "version", o.Version,
			"over_ms", o.Over.Milliseconds(), "order", o.Number)
	}
	return changed
}

// abandon notes that an order takes the place of one whose version is still on trial; the caller holds the lock.
func (t *rollouts) supersede(known *rollout, next canary.Order) {
	versions := t.superseded[next.Service]
	if known != nil && t.state(known) == canary.Active && known.order.Version != next.Version {
		if versions == nil {
			versions = map[ident.Version]bool{}
			t.superseded[next.Service] = versions
		}
		versions[known.order.Version] = true
	}
	delete(versions, next.Version)
}

// setStatuses takes in what the store says became of orders, and reports whether that is news.
func (t *rollouts) setStatuses(statuses map[ident.Service]statusRow) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, s := range statuses {
		before := t.statuses[service]
		t.statuses[service] = s
		if before.Status != s.Status {
			changed = true
			_ = level.Info(t.logger).Log("msg", "move of a service", "service", service, "version", s.Version, "state", s.State, "order", s.Number)
		}
	}
	return changed
}

// state is what became of a trial's order; the caller holds the lock.
func (t *rollouts) state(ro *rollout) canary.State {
	if s := t.statuses[ro.order.Service]; s.Number == ro.order.Number {
		return s.State
	}
	return canary.Active
}

// nameOf is the service under whose name a target of a version is kept.
func (t *rollouts) serviceName(service ident.Service, version ident.Version) ident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	ro := t.current[service]
	ordered := ro != nil && ro.order.Version == version
	switch {
	case t.superseded[service][version]:
		return service + retiredSuffix
	case ro == nil:
		return service
	}
	switch state := t.state(ro); {
	case state == canary.Active && ordered:
		return service + canarySuffix
	case state == canary.Done && !ordered, state == canary.Reverted && ordered:
		return service + retiredSuffix
	}
	return service
}

// onTrial reports whether a version of a service is on trial.
func (t *rollouts) hasCanary(service ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ro := t.current[service]
	return ro != nil && t.state(ro) == canary.Active
}

// Choose implements entry.Trials.
func (t *rollouts) Choose(service ident.Service) ident.Service {
	if !t.enabled() {
		return service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ro := t.current[service]
	if ro == nil || t.state(ro) != canary.Active || t.isBad(ro) {
		return service
	}
	promoted := !t.clock().Before(ro.order.PromotedAt(ro.receivedAt)) && ro.totalEvidence().Sound()
	if promoted || ro.gate.Admits() {
		return service + canarySuffix
	}
	return service
}

// Sent implements entry.Trials.
func (t *rollouts) Sent(service, as ident.Service) {
	if !t.enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if ro := t.current[service]; ro != nil {
		ro.gate.Sent(as != service)
	}
}

// Answered implements entry.Trials.
func (t *rollouts) Answered(service, as ident.Service, route match.RouteName, ok bool, took time.Duration) {
	if !t.enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	baseline := t.baselines[route]
	if baseline == nil {
		baseline = &canary.Norm{}
		t.baselines[route] = baseline
	}
	if as == service {
		baseline.Note(ok, took)
		return
	}
	if ro := t.current[service]; ro != nil {
		ro.own.Add(baseline, ok, took)
	}
}

// total is all evidence that this router knows.
func (ro *rollout) totalEvidence() canary.Evidence {
	sum := ro.own
	for _, e := range ro.peerEvidence {
		sum = sum.Plus(e)
	}
	return sum
}

// bad reports whether the evidence shows a version to be bad, and logs when it does first; once it does the version gets
// no more requests here, whatever the store says; the caller holds the lock.
func (t *rollouts) isBad(ro *rollout) bool {
	if ro.stopped {
		return true
	}
	e := ro.totalEvidence()
	if !e.Bad() {
		return false
	}
	ro.stopped = true
	_ = level.Warn(t.logger).Log("msg", "a version on trial is bad", "service", ro.order.Service, "version", ro.order.Version,
		"answers", e.Answers, "poor", e.Poor, "expected", e.Expected)
	return true
}

// Reports implements peer.Trials: this router's evidence, and that of others in turn.
func (t *rollouts) Reports() []canary.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own, others []canary.Report
	for _, ro := range t.current {
		if t.state(ro) != canary.Active {
			continue
		}
		own = append(own, canary.Report{Number: ro.order.Number, Source: t.source, Evidence: ro.own})
		for source, e := range ro.peerEvidence {
			others = append(others, canary.Report{Number: ro.order.Number, Source: source, Evidence: e})
		}
	}
	slices.SortFunc(others, func(a, b canary.Report) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Source, b.Source))
	})
	for range min(len(others), max(maxReportsPerDigest-len(own), 0)) {
		t.nextReport++
		own = append(own, others[t.nextReport%len(others)])
	}
	return own
}

// Heard implements peer.Trials. Evidence only grows.
func (t *rollouts) Heard(reports []canary.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		for _, ro := range t.current {
			if ro.order.Number == r.Number && r.Source != t.source && r.Answers > ro.peerEvidence[r.Source].Answers {
				ro.peerEvidence[r.Source] = r.Evidence
			}
		}
	}
}

// verdicts are the statuses that the evidence asks for and the store does not have, with the versions of their rows.
func (t *rollouts) verdicts() []statusRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []statusRow
	for service, ro := range t.current {
		known := t.statuses[service]
		state := t.state(ro)
		next := canary.Active
		switch {
		case state != canary.Active:
			continue
		case t.isBad(ro):
			next = canary.Reverted
		case !t.clock().Before(ro.order.DoneAt(ro.receivedAt)) && ro.totalEvidence().Sound():
			next = canary.Done
		}
		now := t.clock()
		if next == state && known.Number == ro.order.Number || now.Sub(ro.verdictAt) < verdictRetryDelay {
			continue
		}
		ro.verdictAt = now
		out = append(out, statusRow{
			Status:  canary.Status{Service: service, Version: ro.order.Version, State: next, Number: ro.order.Number},
			version: known.version,
		})
	}
	return out
}

// judge writes what the evidence says of orders. Any reader of the store may: the row's version lets one of them.
func (n *Node) writeVerdicts(ctx context.Context) {
	if _, known := n.board.Position(n.Rows.StatusTable()); !known || !n.isStoreReader() {
		return
	}
	for _, v := range n.rollouts.verdicts() {
		put := n.Rows.PutStatus(v.Status)
		err := n.Store.Commit(ctx, table.Txn{
			Checks: []table.Check{{Table: put.Table, Key: put.Key, Version: v.version}}, Puts: []table.Put{put},
		})
		_ = level.Info(n.Logger).Log("msg", "verdict on a version", "service", v.Service, "version", v.Version, "state", v.State,
			"order", v.Number, "row", v.version, "err", err)
	}
}

// regroup has pools follow what became of orders.
func (n *Node) reassign() {
	update := n.state.reassign()
	n.publishTargets(update)
	n.state.invalidatePools()
	n.mesh.MarkDirty()
}
