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
type trials struct {
	// share is the part of a service's requests that may try a version; zero follows no orders.
	share float64
	// source tells this process's evidence from that of others.
	source uint64
	logger log.Logger
	clock  ident.Clock

	mu sync.Mutex
	// open are the latest orders by service, statuses what the store says became of them.
	open     map[ident.Service]*trial
	statuses map[ident.Service]written
	// abandoned are versions whose trial another order ended, by service: nobody knows whether they are sound.
	abandoned map[ident.Service]map[ident.Version]bool
	norms     map[match.RouteName]*canary.Norm
	// next is whose evidence is told next.
	next int
}

// trial is one order as this router follows it.
type trial struct {
	order canary.Order
	// seen is when this router learnt of the order.
	seen time.Time
	gate canary.Gate
	own  canary.Evidence
	// heard is the evidence of other routers, by source.
	heard map[uint64]canary.Evidence
	// stopped is set once the evidence has shown the version to be bad, and logged.
	stopped bool
	// judged is when this router gave its last verdict to be written.
	judged time.Time
}

// written is a status with the version of its row.
type written struct {
	canary.Status
	version table.Version
}

const (
	// trialMargin is what of the allowed share routers use: tries that are made again reach targets too.
	trialMargin = 0.6
	// canarySuffix and retiredSuffix make names of services of their own of the targets of a version on trial, and of
	// those that get no work.
	canarySuffix  = "+canary"
	retiredSuffix = "+retired"
	// mostReports is how many routers' evidence one digest carries.
	mostReports = 16
	// judgeAgain is how long a verdict has to reach the store and come back before it is written again.
	judgeAgain = time.Second
	// judgeEvery is how often evidence is looked at, a small part of the seconds in which a bad version must be given up.
	judgeEvery = 200 * time.Millisecond
)

// newTrials returns trials without orders.
func newTrials(share float64, source uint64, logger log.Logger, clock ident.Clock) *trials {
	return &trials{
		share: share * trialMargin, source: source, logger: logger, clock: clock, open: map[ident.Service]*trial{},
		statuses: map[ident.Service]written{}, abandoned: map[ident.Service]map[ident.Version]bool{},
		norms: map[match.RouteName]*canary.Norm{},
	}
}

// follows reports whether orders are followed at all.
func (t *trials) follows() bool { return t.share > 0 }

// setOrders takes in all orders, and reports whether they are others than before.
func (t *trials) setOrders(orders []canary.Order) (changed bool) {
	if !t.follows() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.open {
		if !slices.ContainsFunc(orders, func(o canary.Order) bool { return o.Service == service }) {
			delete(t.open, service)
			changed = true
		}
	}
	for _, o := range orders {
		known := t.open[o.Service]
		if known != nil && known.order.Number == o.Number {
			continue
		}
		t.abandon(known, o)
		t.open[o.Service] = &trial{order: o, seen: t.clock(), gate: canary.NewGate(t.share), heard: map[uint64]canary.Evidence{}}
		changed = true
		_ = level.Info(t.logger).Log("msg", "service is to move to a version", "service", o.Service, "version", o.Version,
			"over_ms", o.Over.Milliseconds(), "order", o.Number)
	}
	return changed
}

// abandon notes that an order takes the place of one whose version is still on trial; the caller holds the lock.
func (t *trials) abandon(known *trial, next canary.Order) {
	versions := t.abandoned[next.Service]
	if known != nil && t.state(known) == canary.Active && known.order.Version != next.Version {
		if versions == nil {
			versions = map[ident.Version]bool{}
			t.abandoned[next.Service] = versions
		}
		versions[known.order.Version] = true
	}
	delete(versions, next.Version)
}

// setStatuses takes in what the store says became of orders, and reports whether that is news.
func (t *trials) setStatuses(statuses map[ident.Service]written) (changed bool) {
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
func (t *trials) state(tr *trial) canary.State {
	if s := t.statuses[tr.order.Service]; s.Number == tr.order.Number {
		return s.State
	}
	return canary.Active
}

// nameOf is the service under whose name a target of a version is kept.
func (t *trials) nameOf(service ident.Service, version ident.Version) ident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.open[service]
	ordered := tr != nil && tr.order.Version == version
	switch {
	case t.abandoned[service][version]:
		return service + retiredSuffix
	case tr == nil:
		return service
	}
	switch state := t.state(tr); {
	case state == canary.Active && ordered:
		return service + canarySuffix
	case state == canary.Done && !ordered, state == canary.Reverted && ordered:
		return service + retiredSuffix
	}
	return service
}

// onTrial reports whether a version of a service is on trial.
func (t *trials) onTrial(service ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.open[service]
	return tr != nil && t.state(tr) == canary.Active
}

// Choose implements entry.Trials.
func (t *trials) Choose(service ident.Service) ident.Service {
	if !t.follows() {
		return service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.open[service]
	if tr == nil || t.state(tr) != canary.Active || t.bad(tr) {
		return service
	}
	promoted := !t.clock().Before(tr.order.PromotedAt(tr.seen)) && tr.total().Sound()
	if promoted || tr.gate.Admits() {
		return service + canarySuffix
	}
	return service
}

// Sent implements entry.Trials.
func (t *trials) Sent(service, as ident.Service) {
	if !t.follows() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if tr := t.open[service]; tr != nil {
		tr.gate.Sent(as != service)
	}
}

// Answered implements entry.Trials.
func (t *trials) Answered(service, as ident.Service, route match.RouteName, ok bool, took time.Duration) {
	if !t.follows() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	norm := t.norms[route]
	if norm == nil {
		norm = &canary.Norm{}
		t.norms[route] = norm
	}
	if as == service {
		norm.Note(ok, took)
		return
	}
	if tr := t.open[service]; tr != nil {
		tr.own.Add(norm, ok, took)
	}
}

// total is all evidence that this router knows.
func (tr *trial) total() canary.Evidence {
	sum := tr.own
	for _, e := range tr.heard {
		sum = sum.Plus(e)
	}
	return sum
}

// bad reports whether the evidence shows a version to be bad, and logs when it does first; once it does the version gets
// no more requests here, whatever the store says; the caller holds the lock.
func (t *trials) bad(tr *trial) bool {
	if tr.stopped {
		return true
	}
	e := tr.total()
	if !e.Bad() {
		return false
	}
	tr.stopped = true
	_ = level.Warn(t.logger).Log("msg", "a version on trial is bad", "service", tr.order.Service, "version", tr.order.Version,
		"answers", e.Answers, "poor", e.Poor, "expected", e.Expected)
	return true
}

// Reports implements peer.Trials: this router's evidence, and that of others in turn.
func (t *trials) Reports() []canary.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own, others []canary.Report
	for _, tr := range t.open {
		if t.state(tr) != canary.Active {
			continue
		}
		own = append(own, canary.Report{Number: tr.order.Number, Source: t.source, Evidence: tr.own})
		for source, e := range tr.heard {
			others = append(others, canary.Report{Number: tr.order.Number, Source: source, Evidence: e})
		}
	}
	slices.SortFunc(others, func(a, b canary.Report) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Source, b.Source))
	})
	for range min(len(others), max(mostReports-len(own), 0)) {
		t.next++
		own = append(own, others[t.next%len(others)])
	}
	return own
}

// Heard implements peer.Trials. Evidence only grows.
func (t *trials) Heard(reports []canary.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		for _, tr := range t.open {
			if tr.order.Number == r.Number && r.Source != t.source && r.Answers > tr.heard[r.Source].Answers {
				tr.heard[r.Source] = r.Evidence
			}
		}
	}
}

// verdicts are the statuses that the evidence asks for and the store does not have, with the versions of their rows.
func (t *trials) verdicts() []written {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []written
	for service, tr := range t.open {
		known := t.statuses[service]
		state := t.state(tr)
		next := canary.Active
		switch {
		case state != canary.Active:
			continue
		case t.bad(tr):
			next = canary.Reverted
		case !t.clock().Before(tr.order.DoneAt(tr.seen)) && tr.total().Sound():
			next = canary.Done
		}
		now := t.clock()
		if next == state && known.Number == tr.order.Number || now.Sub(tr.judged) < judgeAgain {
			continue
		}
		tr.judged = now
		out = append(out, written{
			Status:  canary.Status{Service: service, Version: tr.order.Version, State: next, Number: tr.order.Number},
			version: known.version,
		})
	}
	return out
}

// judge writes what the evidence says of orders. Any reader of the store may: the row's version lets one of them.
func (n *Node) judge(ctx context.Context) {
	if _, known := n.board.Position(n.Rows.StatusTable()); !known || !n.reads() {
		return
	}
	for _, v := range n.trials.verdicts() {
		put := n.Rows.PutStatus(v.Status)
		err := n.Store.Commit(ctx, table.Txn{
			Checks: []table.Check{{Table: put.Table, Key: put.Key, Version: v.version}}, Puts: []table.Put{put},
		})
		_ = level.Info(n.Logger).Log("msg", "verdict on a version", "service", v.Service, "version", v.Version, "state", v.State,
			"order", v.Number, "row", v.version, "err", err)
	}
}

// regroup has pools follow what became of orders.
func (n *Node) regroup() {
	news := n.state.regroup()
	n.observeTargets(news)
	n.state.touch()
	n.mesh.MarkDirty()
}
