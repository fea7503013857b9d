package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
)

// keyHeader contains the key by which the caller identifies a request that may run at most once.
const keyHeader = "Idempotency-Key"

// job is the state of a request while it is served.
type job struct {
	id ident.Attempt
	// traits identify the request by its content, so that it is recognized when it is sent again, and
	// what other requests share with it.
	traits []crash.Trait
	// attemptID is the id of the latest attempt.
	attemptID ident.Attempt
	// buffer holds the body; nil if the request has none.
	buffer      *memory.Buffer
	workspace   policy.Workspace
	service     policy.Service
	decision    policy.Decision
	call        relay.Call
	key         ident.ChatKey
	work        ident.Work
	ticket      *claim.Ticket
	arrivedAt   time.Time
	foundAt     time.Time
	firstByteAt time.Time
	outcome     retry.Outcome
	attempts    int
	warm        bool
	avoid       []ident.TargetHash
	finished    bool
}

// response is the response of a target to an attempt, of which the header has been received.
type response struct {
	placement *route.Placement
	reply     *relay.Reply
	// sentAt is the time at which the attempt was sent.
	sentAt time.Time
}

// close discards the unread part of the response and releases the placement.
func (s *response) close() {
	s.reply.Close()
	s.placement.Release()
}

// caller is the sender of a request and the configuration by which the request is served.
type caller struct {
	inForce   config.InForce
	workspace policy.Workspace
}

// authenticate identifies the caller of a request. It does not read the body, so that an unknown
// caller can cause no load by it.
func (f *Front) authenticate(r *http.Request) (caller, *Problem) {
	inForce := f.Configs.InForce()
	w, problem := identify(inForce, r)
	return caller{inForce: inForce, workspace: w}, problem
}

// newJob evaluates the policy for a request and returns its job.
func (f *Front) newJob(r *http.Request, from caller, request *policy.Request) (*job, *Problem) {
	inForce, w := from.inForce, from.workspace
	decision := inForce.Set.Decide(w, request)
	f.Observer.Decided(w, request, decision)
	service, ok := inForce.Set.Services[decision.Service]
	if !ok {
		return nil, notRun(CodeNoService, http.StatusNotFound, "the policy names no service for this request")
	}
	return &job{
		id:        claim.NewAttempt(),
		workspace: w,
		service:   service,
		decision:  decision,
		work:      ident.OneRequest,
		arrivedAt: f.Clock(),
		call: relay.Call{
			Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Timeout: service.Timeout,
			HTTP2: service.Protocol == policy.HTTP2, EchoesAttemptID: service.Echo,
		},
	}, nil
}

// claim begins the claim of a request that may run at most once. It returns a stored answer if the
// request has run before.
func (f *Front) claim(ctx context.Context, j *job, key string) (*claim.Answer, *Problem) {
	if j.decision.Repeat != retry.Never {
		return nil, nil
	}
	if key == "" || len(key) > maxKeyBytes {
		return nil, notRun(CodeKeyNeeded, http.StatusBadRequest,
			"this request may not be repeated and needs the header "+keyHeader+" of at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	ctx, cancel := context.WithTimeout(ctx, max(j.decision.Wait, f.limits.MinClaimTimeout))
	defer cancel()
	name := claim.Key{Workspace: j.workspace.Name, Name: key}
	hash := claim.HashBody(j.call.Method, j.call.Path+"?"+j.call.Query, j.call.Body)
	ticket, answer, err := f.Claims.Begin(ctx, name, hash)
	if err != nil {
		return nil, claimProblem(err)
	}
	j.ticket = ticket
	j.call.SingleUse = true
	if ticket != nil && j.service.Fenced {
		j.call.Fence = ticket.Fence()
	}
	return answer, nil
}

// setBody sets the body and the traits of the request, of which parts are those that its prompt may
// share with others. The fingerprint excludes the host: callers can send the same request to any router.
func (j *job) setBody(r *http.Request, body []byte, parts []ident.PartHash) {
	j.call.Body = body
	fingerprint := ident.NewFingerprint(j.workspace.Name, "", ident.HashRequest(r.Method, r.URL.RequestURI(), body))
	j.traits = crash.Traits(fingerprint, parts)
}

// rejectQuarantined rejects a quarantined request and reports whether it did so. If sent, the
// request would crash a target with all requests that run there, and still get no answer. It has to
// be called after the claim has begun: an earlier request with the same key may have run, and its
// answer may be stored.
func (f *Front) rejectQuarantined(w http.ResponseWriter, j *job) bool {
	quarantine := f.Guard.Quarantine(j.traits)
	if quarantine.Left == 0 {
		return false
	}
	f.fail(w, j, quarantineProblem(quarantine.Left))
	return true
}

// reportInterrupted reports an interrupted response to the guard. Errors of other kinds are
// ignored, and so are those after the caller disconnected and those at a step before the target can
// have run the request.
func (f *Front) reportInterrupted(ctx context.Context, j *job, target route.Target, sentAt time.Time, err error) {
	switch fault.KindOf[relay.Kind](err) {
	case relay.Broken, relay.Framing:
	default:
		return
	}
	// A resumed stream has no traits, since it does not run the request again.
	if len(j.traits) == 0 || ctx.Err() != nil || retry.IsFree(relay.StepOf(err)) {
		return
	}
	f.Guard.ReportInterrupted(guard.Interruption{Request: string(j.id), Traits: j.traits, Workspace: j.workspace.Name, Target: target, Ran: f.Clock().Sub(sentAt)})
}

// respondFromClaim begins the claim of a request, if it needs one, and reports whether that
// completed the response to the caller: with the stored answer, or with an error because the claim
// failed.
func (f *Front) respondFromClaim(w http.ResponseWriter, r *http.Request, j *job) bool {
	stored, problem := f.claim(r.Context(), j, r.Header.Get(keyHeader))
	switch {
	case problem != nil:
		f.fail(w, j, problem)
	case stored != nil:
		f.writeAnswer(w, *stored)
		f.finish(j, retry.Done, CodeNone)
	default:
		return false
	}
	return true
}

// sendWithRetries sends the request until a target responds, as often as the policy, the retry
// budget and the outcome of earlier attempts allow. The last response is returned if the attempts
// that were to replace it got none.
func (f *Front) sendWithRetries(ctx context.Context, j *job) (*response, *Problem) {
	var last *response
	for {
		s, problem := f.sendToOne(ctx, j)
		if problem != nil && last != nil && ctx.Err() == nil {
			return last, nil
		}
		if last != nil {
			last.close()
		}
		if problem != nil || !f.mayReplace(j, s) {
			return s, problem
		}
		last = s
		last.placement.Release()
		j.outcome = retry.CombineOutcomes(j.outcome, retry.OutcomeOf(retry.Answering))
		j.avoid = append(j.avoid, last.placement.Hash)
		_ = level.Info(f.Logger).Log("msg", "attempt failed", "request", j.id, "attempt", j.attemptID, "target", last.placement.Target.ID, "status", last.reply.Status)
	}
}

// mayReplace reports whether another attempt may be made although a target has responded. It takes a
// token of the retry budget then.
func (f *Front) mayReplace(j *job, s *response) bool {
	return isGatewayError(s.reply.Status) && retry.MaySend(j.decision.Repeat, retry.Answering, !j.firstByteAt.IsZero()) &&
		j.attempts < f.limits.Tries && f.Guard.Quarantine(j.traits).Left == 0 && f.takeRetryToken()
}

// sendToOne sends the request until a target responds or no other attempt may follow.
func (f *Front) sendToOne(ctx context.Context, j *job) (*response, *Problem) {
	for {
		if problem := f.repeatStopProblem(j); problem != nil {
			return nil, problem
		}
		placement, err := f.Finder.Acquire(ctx, j.placementRequest())
		if err != nil {
			return nil, f.mergeOutcome(j, routeProblem(err))
		}
		quarantine := f.Guard.Admit(j.traits)
		if quarantine.Left > 0 {
			placement.Release()
			return nil, f.mergeOutcome(j, quarantineProblem(quarantine.Left))
		}
		if j.foundAt.IsZero() {
			j.foundAt = f.Clock()
			j.warm = placement.Warm
		}
		j.attempts++
		s, step, err := f.sendOnce(ctx, j, placement)
		if s != nil {
			if quarantine.Trial && isGatewayError(s.reply.Status) {
				f.Guard.Abandon(j.traits)
			}
			return s, nil
		}
		if quarantine.Trial && step != retry.Sending {
			f.Guard.Abandon(j.traits)
		}
		if problem := f.handleFailure(ctx, j, placement, step, err); problem != nil {
			return nil, problem
		}
	}
}

// placementRequest returns the request to the finder for the next attempt.
func (j *job) placementRequest() route.TargetRequest {
	return route.TargetRequest{
		Service:   j.service.Name,
		Workspace: j.workspace.Name,
		Weight:    j.workspace.Weight,
		Priority:  j.decision.Priority,
		Key:       j.key,
		Work:      j.work,
		Deadline:  j.arrivedAt.Add(j.decision.Wait),
		Avoid:     j.avoid,
	}
}

// sendOnce makes one attempt. If it fails, sendOnce returns the step at which it failed and the
// error.
func (f *Front) sendOnce(ctx context.Context, j *job, placement *route.Placement) (*response, retry.Step, error) {
	call := j.call
	call.Addr = placement.Target.Addr
	call.Attempt = claim.NewAttempt()
	call.Key = j.key
	j.attemptID = call.Attempt
	sentAt := f.Clock()
	reply, err := f.Sender.Send(ctx, call)
	if err != nil {
		placement.Release()
		if relay.IsLocalFailure(err) {
			f.Finder.ReportCancelled(placement.Hash)
		} else {
			f.recordResult(ctx, placement, false)
		}
		f.reportInterrupted(ctx, j, placement.Target, sentAt, err)
		return nil, relay.StepOf(err), err
	}
	f.observe(j, placement.Target, reply)
	if j.service.MeansNotRun(reply.Status) {
		reply.Close()
		placement.Release()
		return nil, retry.Refused, errRejected
	}
	f.recordResult(ctx, placement, reply.Status < http.StatusInternalServerError)
	return &response{placement: placement, reply: reply, sentAt: sentAt}, 0, nil
}

// observe reports the state that a target indicated in a response to the finder.
func (f *Front) observe(j *job, target route.Target, reply *relay.Reply) {
	f.Finder.ReportNotice(target, route.Notice{
		Request: string(j.id), Status: reply.Status, Leaving: reply.Leaving,
		Backoff: relay.BackoffOf(reply.Status, reply.Header, f.Clock()),
	})
}

var errRejected = fault.Newf("front.send", relay.Broken, "target rejected the request with its not-run status")

// isGatewayError reports whether a status indicates that another target may be able to serve the
// request.
func isGatewayError(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// recordResult records the result of an attempt in the target's circuit breaker. A failure after
// the caller disconnected is not counted against the target.
func (f *Front) recordResult(ctx context.Context, placement *route.Placement, ok bool) {
	if !ok && ctx.Err() != nil {
		f.Finder.ReportCancelled(placement.Hash)
		return
	}
	f.Finder.Report(placement.Hash, ok)
}

// handleFailure decides whether a failed attempt is retried. It returns nil for a retry, or else
// the problem with which the request ends.
func (f *Front) handleFailure(ctx context.Context, j *job, placement *route.Placement, step retry.Step, err error) *Problem {
	j.outcome = retry.CombineOutcomes(j.outcome, retry.OutcomeOf(step))
	j.avoid = append(j.avoid, placement.Hash)
	_ = level.Info(f.Logger).Log("msg", "attempt failed", "request", j.id, "attempt", j.attemptID, "target", placement.Target.ID, "step", int(step), "err", err)
	switch {
	case lacksMemory(err):
		return attemptProblem(err, j.outcome)
	case ctx.Err() != nil:
		return &Problem{Status: statusCallerGone, Code: CodeCallerGone, Message: "the caller has gone", Outcome: j.outcome}
	case f.Guard.Quarantine(j.traits).Left > 0:
		return attemptProblem(err, j.outcome)
	case retry.MaySend(j.decision.Repeat, step, !j.firstByteAt.IsZero()) && j.attempts < f.limits.Tries && (retry.IsFree(step) || f.takeRetryToken()):
		return nil
	case step == retry.Refused && j.outcome == retry.NotRun:
		return &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeTargetRefused, Outcome: retry.NotRun,
			RetryAfter: time.Second, Message: "the target refused the request",
		}
	default:
		return attemptProblem(err, j.outcome)
	}
}

// mergeOutcome replaces the problem's outcome by that of earlier attempts if theirs is worse, since
// they may have run the request.
func (f *Front) mergeOutcome(j *job, p *Problem) *Problem {
	if j.outcome != "" {
		p.Outcome = retry.CombineOutcomes(j.outcome, p.Outcome)
	}
	return p
}

// fail ends a job with a problem. It releases the claim only if the request did not run.
func (f *Front) fail(w http.ResponseWriter, j *job, p *Problem) {
	if j.ticket != nil && p.Outcome == retry.NotRun {
		f.Claims.Release(j.ticket)
	}
	p.write(w)
	f.finish(j, p.Outcome, p.Code)
}

// finish reports the end of a job to the observer and the log; only the first call has an effect.
func (f *Front) finish(j *job, outcome retry.Outcome, code Code) {
	if j.finished {
		return
	}
	j.finished = true
	now := f.Clock()
	end := Finished{
		Workspace: j.workspace.Name, Service: j.service.Name, Outcome: outcome, Code: code, Warm: j.warm, Attempts: j.attempts,
		TotalTime: now.Sub(j.arrivedAt),
	}
	if !j.foundAt.IsZero() {
		end.WaitTime = j.foundAt.Sub(j.arrivedAt)
	}
	if !j.firstByteAt.IsZero() {
		end.FirstByte = j.firstByteAt.Sub(j.arrivedAt)
	}
	f.Observer.Finished(end)
	_ = level.Info(f.Logger).Log("msg", "request", "request", j.id, "attempt", j.attemptID, "workspace", j.workspace.Name, "service", j.service.Name,
		"chat", strconv.FormatUint(uint64(j.key), 16), "outcome", outcome, "code", code, "tries", j.attempts, "ms", end.TotalTime.Milliseconds())
}
