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

// rollouts follows operators' rollouts of services to other versions. Each router sends a part of
// its requests to the canary version and reports the results to its peers. A reader of the store
// writes the verdict that follows from all of them.
type rollouts struct {
	// canaryRatio is the part of a service's requests that may be sent to the canary. If it is
	// zero, rollouts are not followed.
	canaryRatio float64
	// source identifies the evidence of this process.
	source uint64
	logger log.Logger
	clock  ident.Clock

	mu sync.Mutex
	// current contains the latest rollout of each service, and statuses the rollouts' statuses in
	// the store.
	current  map[ident.Service]*rollout
	statuses map[ident.Service]statusRow
	// superseded contains, by service, the versions whose rollout was replaced by another one
	// before a verdict. It is unknown whether they are sound.
	superseded map[ident.Service]map[ident.Version]bool
	baselines  map[match.RouteName]*canary.Baseline
	// nextReport is the index of the peer evidence that is reported next.
	nextReport int
}

// rollout is the state of one rollout on this router.
type rollout struct {
	order canary.Order
	// receivedAt is when this router received the rollout.
	receivedAt time.Time
	gate       canary.Gate
	own        canary.Evidence
	// peerEvidence is the evidence of other routers, by source.
	peerEvidence map[uint64]canary.Evidence
	// stopped is set, and the fact logged, once the evidence has shown the version to be bad.
	stopped bool
	// verdictAt is when this router last returned a verdict to be written.
	verdictAt time.Time
}

// statusRow is a status with the version of its row.
type statusRow struct {
	canary.Status
	version table.Version
}

const (
	// canaryRatioMargin is the part of the allowed ratio that routers use, since retries reach
	// targets too.
	canaryRatioMargin = 0.6
	// canarySuffix and retiredSuffix form the names of separate services for the targets of a
	// canary version and for those that receive no work.
	canarySuffix  = "+canary"
	retiredSuffix = "+retired"
	// maxReportsPerDigest is the maximum number of routers whose evidence is included in one
	// digest.
	maxReportsPerDigest = 16
	// verdictRetryDelay is how long a verdict may take to be written to the store and read back
	// before it is written again.
	verdictRetryDelay = time.Second
	// judgeInterval is the interval at which the evidence is evaluated. It is a small part of the
	// seconds within which a bad version must be reverted.
	judgeInterval = 200 * time.Millisecond
)

// newRollouts returns rollouts without a current one.
func newRollouts(canaryRatio float64, source uint64, logger log.Logger, clock ident.Clock) *rollouts {
	return &rollouts{
		canaryRatio: canaryRatio * canaryRatioMargin, source: source, logger: logger, clock: clock, current: map[ident.Service]*rollout{},
		statuses: map[ident.Service]statusRow{}, superseded: map[ident.Service]map[ident.Version]bool{},
		baselines: map[match.RouteName]*canary.Baseline{},
	}
}

// enabled reports whether rollouts are followed at all.
func (r *rollouts) enabled() bool { return r.canaryRatio > 0 }

// setRollouts sets the current rollouts and reports whether they changed.
func (r *rollouts) setRollouts(orders []canary.Order) (changed bool) {
	if !r.enabled() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.current {
		if !slices.ContainsFunc(orders, func(o canary.Order) bool { return o.Service == service }) {
			delete(r.current, service)
			changed = true
		}
	}
	for _, o := range orders {
		known := r.current[o.Service]
		if known != nil && known.order.Number == o.Number {
			continue
		}
		r.supersede(known, o)
		r.current[o.Service] = &rollout{order: o, receivedAt: r.clock(), gate: canary.NewGate(r.canaryRatio), peerEvidence: map[uint64]canary.Evidence{}}
		changed = true
		_ = level.Info(r.logger).Log("msg", "rollout received", "service", o.Service, "version", o.Version,
			"over_ms", o.Period.Milliseconds(), "order", o.Number)
	}
	return changed
}

// supersede records that a rollout replaces one without a verdict. The caller holds the lock.
func (r *rollouts) supersede(known *rollout, next canary.Order) {
	versions := r.superseded[next.Service]
	if known != nil && r.state(known) == canary.Active && known.order.Version != next.Version {
		if versions == nil {
			versions = map[ident.Version]bool{}
			r.superseded[next.Service] = versions
		}
		versions[known.order.Version] = true
	}
	delete(versions, next.Version)
}

// setStatuses applies statuses from the store and reports whether any changed.
func (r *rollouts) setStatuses(statuses map[ident.Service]statusRow) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range statuses {
		before := r.statuses[service]
		r.statuses[service] = s
		if before.Status != s.Status {
			changed = true
			_ = level.Info(r.logger).Log("msg", "rollout status", "service", service, "version", s.Version, "state", s.State, "order", s.Number)
		}
	}
	return changed
}

// state returns the state of a rollout. The caller holds the lock.
func (r *rollouts) state(ro *rollout) canary.State {
	if s := r.statuses[ro.order.Service]; s.Number == ro.order.Number {
		return s.State
	}
	return canary.Active
}

// serviceName returns the service name under which a target of a version is kept.
func (r *rollouts) serviceName(service ident.Service, version ident.Version) ident.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.current[service]
	isRolloutVersion := ro != nil && ro.order.Version == version
	switch {
	case r.superseded[service][version]:
		return service + retiredSuffix
	case ro == nil:
		return service
	}
	switch state := r.state(ro); {
	case state == canary.Active && isRolloutVersion:
		return service + canarySuffix
	case state == canary.Done && !isRolloutVersion, state == canary.Reverted && isRolloutVersion:
		return service + retiredSuffix
	}
	return service
}

// NameOf implements entry.Canaries.
func (r *rollouts) NameOf(service ident.Service, version ident.Version) ident.Service {
	if !r.enabled() {
		return service
	}
	return r.serviceName(service, version)
}

// hasCanary reports whether a service has a canary version.
func (r *rollouts) hasCanary(service ident.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.current[service]
	return ro != nil && r.state(ro) == canary.Active
}

// Choose implements entry.Canaries.
func (r *rollouts) Choose(service ident.Service) ident.Service {
	if !r.enabled() {
		return service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.current[service]
	if ro == nil || r.state(ro) != canary.Active || r.isBad(ro) {
		return service
	}
	promoted := !r.clock().Before(ro.order.PromotedAt(ro.receivedAt)) && ro.totalEvidence().Sound()
	if promoted || ro.gate.Admits() {
		return service + canarySuffix
	}
	return service
}

// RecordSent implements entry.Canaries.
func (r *rollouts) RecordSent(service, as ident.Service) {
	if !r.enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ro := r.current[service]; ro != nil {
		ro.gate.RecordSent(as != service)
	}
}

// Finished implements entry.Canaries.
func (r *rollouts) Finished(service, as ident.Service, route match.RouteName, ok bool, took time.Duration) {
	if !r.enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	baseline := r.baselines[route]
	if baseline == nil {
		baseline = &canary.Baseline{}
		r.baselines[route] = baseline
	}
	if as == service {
		baseline.Record(ok, took)
		return
	}
	if ro := r.current[service]; ro != nil {
		ro.own.Add(baseline, ok, took)
	}
}

// totalEvidence returns the sum of all evidence that this router has.
func (ro *rollout) totalEvidence() canary.Evidence {
	sum := ro.own
	for _, e := range ro.peerEvidence {
		sum = sum.Plus(e)
	}
	return sum
}

// isBad reports whether the evidence shows a version to be bad, and logs the first such result.
// From then on this router sends it no more requests, whatever the status in the store. The caller
// holds the lock.
func (r *rollouts) isBad(ro *rollout) bool {
	if ro.stopped {
		return true
	}
	e := ro.totalEvidence()
	if !e.Bad() {
		return false
	}
	ro.stopped = true
	_ = level.Warn(r.logger).Log("msg", "canary version is bad", "service", ro.order.Service, "version", ro.order.Version,
		"answers", e.Answers, "poor", e.Poor, "expected", e.Expected)
	return true
}

// Reports implements peer.CanaryReports. It returns this router's evidence, and that
// of peers in rotation.
func (r *rollouts) Reports() []canary.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, peerReports []canary.Report
	for _, ro := range r.current {
		if r.state(ro) != canary.Active {
			continue
		}
		own = append(own, canary.Report{Number: ro.order.Number, Source: r.source, Evidence: ro.own})
		for source, e := range ro.peerEvidence {
			peerReports = append(peerReports, canary.Report{Number: ro.order.Number, Source: source, Evidence: e})
		}
	}
	slices.SortFunc(peerReports, func(a, b canary.Report) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Source, b.Source))
	})
	for range min(len(peerReports), max(maxReportsPerDigest-len(own), 0)) {
		r.nextReport++
		own = append(own, peerReports[r.nextReport%len(peerReports)])
	}
	return own
}

// MergeReports implements peer.CanaryReports. Evidence only grows, so the report with
// more answers is the later one.
func (r *rollouts) MergeReports(reports []canary.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		for _, ro := range r.current {
			if ro.order.Number == report.Number && report.Source != r.source && report.Answers > ro.peerEvidence[report.Source].Answers {
				ro.peerEvidence[report.Source] = report.Evidence
			}
		}
	}
}

// verdicts returns the statuses that follow from the evidence and are not in the store, with the
// versions of their rows.
func (r *rollouts) verdicts() []statusRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []statusRow
	for service, ro := range r.current {
		known := r.statuses[service]
		state := r.state(ro)
		next := canary.Active
		switch {
		case state != canary.Active:
			continue
		case r.isBad(ro):
			next = canary.Reverted
		case !r.clock().Before(ro.order.DoneAt(ro.receivedAt)) && ro.totalEvidence().Sound():
			next = canary.Done
		}
		now := r.clock()
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

// writeVerdicts writes the verdicts on rollouts to the store. Every reader of the store may do so:
// the check of the row's version accepts only one of them.
func (n *Node) writeVerdicts(ctx context.Context) {
	if _, known := n.replicas.Position(n.Rows.StatusTable()); !known || !n.isStoreReader() {
		return
	}
	for _, v := range n.rollouts.verdicts() {
		put := n.Rows.PutStatus(v.Status)
		err := n.Store.Commit(ctx, table.Txn{
			Checks: []table.Check{{Table: put.Table, Key: put.Key, Version: v.version}}, Puts: []table.Put{put},
		})
		_ = level.Info(n.Logger).Log("msg", "writing rollout verdict", "service", v.Service, "version", v.Version, "state", v.State,
			"order", v.Number, "row", v.version, "err", err)
	}
}

// reassign updates the pools after a change of the rollouts or their statuses.
func (n *Node) reassign() {
	update := n.state.reassign()
	n.publishTargets(update)
	n.state.invalidatePools()
	n.mesh.RequestUpdate()
}
