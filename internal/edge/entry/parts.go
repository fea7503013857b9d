package entry

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
	"valescale/internal/share/origin"
)

// Finder places requests at targets.
type Finder interface {
	// Acquire waits for a target. The caller must release the placement.
	Acquire(ctx context.Context, request route.TargetRequest) (*route.Placement, error)
	// Report records whether a target answered a request correctly.
	Report(target ident.TargetHash, ok bool)
	// ReportCancelled records the end of a request that gives no evidence about its target.
	ReportCancelled(target ident.TargetHash)
	// ReportReceived records that a target has sent bytes of an answer.
	ReportReceived(target ident.TargetHash)
	// ReportSilent records that a request sent at the given time has received nothing for too long.
	// It reports whether the target has sent nothing to other requests either.
	ReportSilent(target ident.TargetHash, since time.Time) bool
	// ReportGivenUp records an attempt that was given up because its target was silent.
	ReportGivenUp(target ident.TargetHash)
	// ReportUnreachable records that no connection to a target could be made.
	ReportUnreachable(target ident.TargetHash)
	// ReportPace records what an attempt shows about the pace of its target.
	ReportPace(report pace.Report)
	// ReportNotice records the draining state and backoff that a target reported in an answer.
	ReportNotice(target route.Target, n route.Notice)
	// IsLeaving reports whether a target is leaving or is not listed any more.
	IsLeaving(target route.Target) bool
}

// Sender sends requests to targets.
type Sender interface {
	// Send makes one attempt and returns once the answer's head is received.
	Send(ctx context.Context, e relay.Exchange) (*relay.Answer, error)
	// ReportSilent reports that nothing has arrived from the target at an address for longer than
	// usual.
	ReportSilent(addr string)
	// Connect makes a connection to the target at an address for the next attempt there, among at most
	// maxIdleConns, and reports whether it could.
	Connect(ctx context.Context, addr string, maxIdleConns int) bool
	// HasEnded reports whether the process of the target at an address is known to have ended. The
	// connection made to find out stays idle, among at most maxIdleConns.
	HasEnded(ctx context.Context, addr string, maxIdleConns int) bool
	targetProber
}

// Guard quarantines requests under which targets crash.
type Guard interface {
	// Quarantine returns the quarantine of a request with the given traits.
	Quarantine(traits []crash.Trait) crash.Quarantine
	// Admit returns the quarantine of a request that is about to be sent, which may be a trial.
	Admit(traits []crash.Trait) crash.Quarantine
	// Abandon ends a trial whose attempt showed nothing.
	Abandon(traits []crash.Trait)
	// ReportInterrupted records an answer that broke off.
	ReportInterrupted(b guard.Interruption)
	// Served records a complete answer to a request with the given traits.
	Served(traits []crash.Trait)
}

// Budget limits the number of retries.
type Budget interface {
	// Request records a caller's request to a service.
	Request(service ident.Service, now time.Time)
	// HasRetry reports whether Retry would find one available.
	HasRetry(service ident.Service, now time.Time) bool
	// Retry takes one retry from the service's budget, and reports whether one was available.
	Retry(service ident.Service, now time.Time) bool
	// Usage returns the state of the service's budget, for logs.
	Usage(service ident.Service, now time.Time) retry.Usage
}

// Canaries selects the requests that are sent to the canary version of a service.
type Canaries interface {
	// Choose returns the name used to find a target for the next request: that of the service or
	// that of its canary version.
	Choose(service ident.Service) (as ident.Service)
	// Default returns the name used to find a target for a request that is no trial of the canary version: that
	// of the service, or that of its canary version if the service has no other targets.
	Default(service ident.Service) (as ident.Service)
	// RecordSent records that a target was found under a name.
	RecordSent(service, as ident.Service)
	// Finished records the result of a request to a target that was found under a name.
	Finished(service, as ident.Service, route match.RouteName, ok bool, took time.Duration)
	// NameOf returns the name used to find targets of a version of a service.
	NameOf(service ident.Service, version ident.Version) (as ident.Service)
}

// Origins keeps at which versions streams began.
type Origins interface {
	// Expected records at which version a stream is expected to begin, before its request is sent to a target.
	Expected(r origin.Record)
	// Began records the origin of a stream before its first event is sent to the caller.
	Began(r origin.Record)
	// BeganUnexpectedly does so for a stream of which another version was expected. It may wait for the store.
	BeganUnexpectedly(r origin.Record)
	// Find returns the origin of a stream of a service.
	Find(ctx context.Context, key origin.Key, service ident.Service) origin.Found
	// Observed returns for how long this router has observed the targets of a service.
	Observed(service ident.Service) time.Duration
}

// noOrigins is used when targets have no versions. Streams go on at any target.
type noOrigins struct{}

func (noOrigins) Expected(origin.Record)               {}
func (noOrigins) Began(origin.Record)                  {}
func (noOrigins) BeganUnexpectedly(origin.Record)      {}
func (noOrigins) Observed(ident.Service) time.Duration { return 0 }

func (noOrigins) Find(_ context.Context, _ origin.Key, service ident.Service) origin.Found {
	return origin.Found{Origin: origin.Origin{Service: service}, Source: origin.SingleVersion}
}

// noCanaries is used when there are no canary versions.
type noCanaries struct{}

func (noCanaries) Choose(service ident.Service) ident.Service  { return service }
func (noCanaries) Default(service ident.Service) ident.Service { return service }
func (noCanaries) NameOf(service ident.Service, _ ident.Version) ident.Service {
	return service
}
func (noCanaries) RecordSent(_, _ ident.Service) {}
func (noCanaries) Finished(_, _ ident.Service, _ match.RouteName, _ bool, _ time.Duration) {
}

// Observer receives the end of each request.
type Observer interface {
	// Ended is called once per request.
	Ended(e End)
	// AnswerEnded is called once per answer of a target that is forwarded.
	AnswerEnded(service ident.Service, ending Ending)
}

// End describes the end of a request.
type End struct {
	Route     match.RouteName
	Service   ident.Service
	Workspace ident.Workspace
	Reason    Reason
	// Status is the status sent to the caller, or zero without an answer.
	Status int
	// Sends is the number of attempts that reached a target.
	Sends int
	// Found is the time until a target was found, First until the first byte of the answer and
	// Total until the end. First and Found are zero if that point was not reached.
	Found time.Duration
	First time.Duration
	Total time.Duration
	// Rule is the rule by which the last target was selected, or zero.
	Rule place.Rule
	// Timely is set if the answer met the objectives of the route.
	Timely bool
}

// Parts contains the dependencies of a handler.
type Parts struct {
	Dialect  Dialect
	Rules    Rules
	Finder   Finder
	Sender   Sender
	Budget   Budget
	Guard    Guard
	Observer Observer
	Logger   log.Logger
	Clock    ident.Clock
	// Memory is the account of what is kept for callers.
	Memory *memory.Account
	// Gate wraps the listener; nil if there is none.
	Gate *Gate
	// Canaries may be nil.
	Canaries Canaries
	// Origins may be nil.
	Origins Origins
}
