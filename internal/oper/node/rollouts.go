package node

import (
	"cmp"
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
	// awaitsStatuses is set until the statuses have been read for the first time.
	awaitsStatuses bool
	// superseded contains, by service, the versions whose rollout was replaced by another one
	// before a verdict. It is unknown whether they are sound.
	superseded map[ident.Service]map[ident.Version]bool
	baselines  map[match.RouteName]*canary.Baseline
	// hasOnlyCanaries reports whether all targets of a service are canaries.
	hasOnlyCanaries func(ident.Service) bool
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
	// decided is the final state of the rollout, empty until it is known. The store may lose it.
	decided canary.State
	// lost is set once the store, restored from an older snapshot, has lost the order.
	lost bool
	// stopped is set, and the fact logged, once the evidence has shown the version to be bad.
	stopped bool
	// verdictAt is when this router last returned a verdict to be written.
	verdictAt time.Time
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
	// judgeInterval is the interval at which the evidence is evaluated. It is a small part of the
	// seconds within which a bad version must be reverted.
	judgeInterval = 200 * time.Millisecond
)

// newRollouts returns rollouts without a current one.
func newRollouts(canaryRatio float64, source uint64, logger log.Logger, clock ident.Clock) *rollouts {
	return &rollouts{
		canaryRatio: canaryRatio * canaryRatioMargin, source: source, logger: logger, clock: clock, current: map[ident.Service]*rollout{},
		statuses: map[ident.Service]statusRow{}, superseded: map[ident.Service]map[ident.Version]bool{},
		baselines: map[match.RouteName]*canary.Baseline{}, hasOnlyCanaries: func(ident.Service) bool { return false },
	}
}

// enabled reports whether rollouts are followed at all.
func (r *rollouts) enabled() bool { return r.canaryRatio > 0 }

// setRollouts sets the current rollouts, given the latest era of their table, and reports whether they changed.
func (r *rollouts) setRollouts(orders []canary.Order, era table.Era) (changed bool) {
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
		if known != nil && known.reread(o, era) {
			continue
		}
		r.supersede(known, o)
		r.current[o.Service] = &rollout{order: o, receivedAt: r.clock(), gate: canary.NewGate(r.canaryRatio), peerEvidence: map[uint64]canary.Evidence{}}
		r.decide(r.current[o.Service])
		changed = true
		_ = level.Info(r.logger).Log("msg", "rollout received", "service", o.Service, "version", o.Version,
			"over_ms", o.Period.Milliseconds(), "order", o.Number)
	}
	return changed
}

// reread applies an order that was read, given the latest era of its table, and reports whether it is that of the
// rollout. An order that the store has lost was written again if it is read in a later era.
func (ro *rollout) reread(o canary.Order, era table.Era) bool {
	if !o.Rereads(ro.order) || ro.lost && o.Era > ro.order.Era {
		return false
	}
	ro.order = o
	ro.lost = o.Era < era
	return true
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
	if r.choosesCanary(service) {
		return service + canarySuffix
	}
	return r.Default(service)
}

// choosesCanary reports whether the next request is to be sent to the canary, as a trial or since the version is
// about to be in service.
func (r *rollouts) choosesCanary(service ident.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.trial(service)
	if ro == nil || r.awaitsStatuses {
		return false
	}
	promoted := !r.clock().Before(ro.order.PromotedAt(ro.receivedAt)) && ro.totalEvidence().Sound()
	return promoted || ro.gate.Admits()
}

// Default implements entry.Canaries. A service whose state is unknown, since the store has lost it, may have no
// other targets than those of a version that counts as a canary again. They serve it unless the version is bad.
func (r *rollouts) Default(service ident.Service) ident.Service {
	if r.enabled() && r.hasTrial(service) && r.hasOnlyCanaries(service) {
		return service + canarySuffix
	}
	return service
}

// hasTrial reports whether a service has a canary version that is not known to be bad.
func (r *rollouts) hasTrial(service ident.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trial(service) != nil
}

// trial returns the rollout of a service's canary version, or nil if it has none or a bad one. The caller holds
// the lock.
func (r *rollouts) trial(service ident.Service) *rollout {
	ro := r.current[service]
	if ro == nil || r.state(ro) != canary.Active || r.isBad(ro) {
		return nil
	}
	return ro
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

// reassign updates the pools after a change of the rollouts or their statuses.
func (n *Node) reassign() {
	update := n.state.reassign()
	n.publishTargets(update)
	n.state.invalidatePools()
	n.mesh.RequestUpdate()
}
