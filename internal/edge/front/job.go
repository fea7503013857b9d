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
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
)

// keyHeader carries a caller's name for a request that may not be repeated.
const keyHeader = "Idempotency-Key"

// job is one caller's request on its way.
type job struct {
	id ident.Attempt
	// print tells the request from others of its workspace, and knows it again when it comes anew.
	print ident.Fingerprint
	// attempt is the latest sending.
	attempt   ident.Attempt
	workspace policy.Workspace
	service   policy.Service
	decision  policy.Decision
	call      relay.Call
	key       ident.ChatKey
	work      ident.Work
	ticket    *claim.Ticket
	arrived   time.Time
	found     time.Time
	first     time.Time
	outcome   retry.Outcome
	tries     int
	warm      bool
	avoid     []ident.TargetHash
	done      bool
}

// sent is an attempt whose answer has begun.
type sent struct {
	placement *route.Placement
	reply     *relay.Reply
	// at is when it was sent.
	at time.Time
}

// close gives back the target and drops what is unread.
func (s *sent) close() {
	s.reply.Close()
	s.placement.Release()
}

// caller is who sent a request, under the configuration that it is served by.
type caller struct {
	force     config.InForce
	workspace policy.Workspace
}

// known tells who sent a request, before anything of its body is read.
func (f *Front) known(r *http.Request) (caller, *Problem) {
	force := f.Configs.InForce()
	w, problem := identify(force, r)
	return caller{force: force, workspace: w}, problem
}

// accept runs the policy on what it can see of a request and makes the job.
func (f *Front) accept(r *http.Request, from caller, request *policy.Request) (*job, *Problem) {
	force, w := from.force, from.workspace
	decision := force.Set.Decide(w, request)
	f.Observer.Decided(w, request, decision)
	service, ok := force.Set.Services[decision.Service]
	if !ok {
		return nil, bad(CodeNoService, http.StatusNotFound, "the policy names no service for this request")
	}
	return &job{
		id:        claim.NewAttempt(),
		workspace: w,
		service:   service,
		decision:  decision,
		work:      ident.OneRequest,
		arrived:   f.Clock(),
		call: relay.Call{
			Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Timeout: service.Timeout,
			HTTP2: service.Protocol == policy.HTTP2, Echoes: service.Echo,
		},
	}, nil
}

// claim takes the claim of a request that may not be repeated. A stored answer
// means that it has run before.
func (f *Front) claim(ctx context.Context, j *job, key string) (*claim.Answer, *Problem) {
	if j.decision.Repeat != retry.Never {
		return nil, nil
	}
	if key == "" || len(key) > maxKey {
		return nil, bad(CodeKeyNeeded, http.StatusBadRequest,
			"this request may not be repeated and needs the header "+keyHeader+" of at most "+strconv.Itoa(maxKey)+" bytes")
	}
	ctx, cancel := context.WithTimeout(ctx, max(j.decision.Wait, f.limits.ClaimTime))
	defer cancel()
	name := claim.Key{Workspace: j.workspace.Name, Name: key}
	hash := claim.HashBody(j.call.Method, j.call.Path+"?"+j.call.Query, j.call.Body)
	ticket, answer, err := f.Claims.Begin(ctx, name, hash)
	if err != nil {
		return nil, fromClaim(err)
	}
	j.ticket = ticket
	j.call.Once = true
	if ticket != nil && j.service.Fenced {
		j.call.Fence = ticket.Fence()
	}
	return answer, nil
}

// read gives a job the request's body. Callers may name any router as the host: it tells nothing of the
// request.
func (j *job) read(r *http.Request, body []byte) {
	j.call.Body = body
	j.print = ident.NewFingerprint(j.workspace.Name, "", ident.HashRequest(r.Method, r.URL.RequestURI(), body))
}

// held refuses a request under which targets end, and reports whether it has. Sent on, it would take a
// target along and all that runs there, and still not be answered. It comes after the claim: what was sent
// before under the caller's key may have run, and its answer may be there.
func (f *Front) held(w http.ResponseWriter, j *job) bool {
	wait := f.Guard.HeldFor(j.print)
	if wait == 0 {
		return false
	}
	f.fail(w, j, endsTargets(wait))
	return true
}

// broke tells of an attempt whose answer broke off.
func (f *Front) broke(ctx context.Context, j *job, target route.Target, sentAt time.Time, err error) {
	switch fault.KindOf[relay.Kind](err) {
	case relay.Broken, relay.Framing:
	default:
		return
	}
	// Going on with a stream runs nothing, so that it has no fingerprint.
	if j.print == 0 || ctx.Err() != nil || retry.Free(relay.StepOf(err)) {
		return
	}
	f.Guard.Broke(guard.Break{Request: string(j.id), Fingerprint: j.print, Target: target, Ran: f.Clock().Sub(sentAt)})
}

// claimed takes the claim that a request may need and reports whether the caller
// has been answered by that: with the stored answer, or because there is no claim to be had.
func (f *Front) claimed(w http.ResponseWriter, r *http.Request, j *job) bool {
	stored, problem := f.claim(r.Context(), j, r.Header.Get(keyHeader))
	switch {
	case problem != nil:
		f.fail(w, j, problem)
	case stored != nil:
		writeAnswer(w, *stored)
		f.finish(j, retry.Done, CodeNone)
	default:
		return false
	}
	return true
}

// attempt sends the request until an answer begins, as often as the policy, the
// retry budget and the truth allow.
func (f *Front) attempt(ctx context.Context, j *job) (*sent, *Problem) {
	for {
		placement, err := f.Finder.Acquire(ctx, j.ask())
		if err != nil {
			return nil, f.joined(j, fromRoute(err))
		}
		if wait := f.Guard.HeldFor(j.print); wait > 0 {
			placement.Release()
			return nil, f.joined(j, endsTargets(wait))
		}
		if j.found.IsZero() {
			j.found = f.Clock()
			j.warm = placement.Warm
		}
		j.tries++
		s, step, err := f.sendOnce(ctx, j, placement)
		if s != nil {
			return s, nil
		}
		if problem := f.after(ctx, j, placement, step, err); problem != nil {
			return nil, problem
		}
	}
}

// ask is what the job needs of the finder now.
func (j *job) ask() route.Ask {
	return route.Ask{
		Service:   j.service.Name,
		Workspace: j.workspace.Name,
		Weight:    j.workspace.Weight,
		Priority:  j.decision.Priority,
		Key:       j.key,
		Work:      j.work,
		Deadline:  j.arrived.Add(j.decision.Wait),
		Avoid:     j.avoid,
	}
}

// sendOnce makes one attempt; without an answer it says at which step it ended.
func (f *Front) sendOnce(ctx context.Context, j *job, placement *route.Placement) (*sent, retry.Step, error) {
	call := j.call
	call.Addr = placement.Target.Addr
	call.Attempt = claim.NewAttempt()
	call.Key = j.key
	j.attempt = call.Attempt
	at := f.Clock()
	reply, err := f.Sender.Send(ctx, call)
	if err != nil {
		placement.Release()
		if relay.Blameless(err) {
			f.Finder.Cancelled(placement.Hash)
		} else {
			f.judge(ctx, placement, false)
		}
		f.broke(ctx, j, placement.Target, at, err)
		return nil, relay.StepOf(err), err
	}
	f.observe(j, placement.Target, reply)
	if j.service.MeansNotRun(reply.Status) {
		reply.Close()
		placement.Release()
		return nil, retry.Refused, errRefused
	}
	f.judge(ctx, placement, reply.Status < http.StatusInternalServerError)
	if j.decision.Repeat == retry.Safe && gatewayStatus(reply.Status) && j.tries < f.limits.Tries {
		reply.Close()
		placement.Release()
		return nil, retry.Answering, errGateway
	}
	return &sent{placement: placement, reply: reply, at: at}, 0, nil
}

// observe tells the finder what a target says of itself in an answer.
func (f *Front) observe(j *job, target route.Target, reply *relay.Reply) {
	f.Finder.Observe(target, route.Notice{
		Request: string(j.id), Status: reply.Status, Leaving: reply.Leaving,
		Backoff: relay.BackoffOf(reply.Status, reply.Header, f.Clock()),
	})
}

var (
	errRefused = fault.Newf("front.send", relay.Broken, "the target refused")
	errGateway = fault.Newf("front.send", relay.Broken, "the target says that it cannot serve now")
)

// gatewayStatus tells the answers that say "try elsewhere".
func gatewayStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// judge tells the target's breaker how it did; a caller that went away says nothing of it.
func (f *Front) judge(ctx context.Context, placement *route.Placement, ok bool) {
	if !ok && ctx.Err() != nil {
		f.Finder.Cancelled(placement.Hash)
		return
	}
	f.Finder.Report(placement.Hash, ok)
}

// after decides whether a failed attempt is followed by another; a problem ends the request.
func (f *Front) after(ctx context.Context, j *job, placement *route.Placement, step retry.Step, err error) *Problem {
	j.outcome = retry.Worse(j.outcome, retry.OutcomeOf(step))
	j.avoid = append(j.avoid, placement.Hash)
	_ = level.Info(f.Logger).Log("msg", "attempt failed", "request", j.id, "attempt", j.attempt, "target", placement.Target.ID, "step", int(step), "err", err)
	switch {
	case ctx.Err() != nil:
		return &Problem{Status: statusCallerGone, Code: CodeCallerGone, Message: "the caller has gone", Outcome: j.outcome}
	case f.Guard.HeldFor(j.print) > 0:
		return fromAttempts(err, j.outcome)
	case retry.MaySend(j.decision.Repeat, step, !j.first.IsZero()) && j.tries < f.limits.Tries && (retry.Free(step) || f.mayRetry()):
		return nil
	case step == retry.Refused && j.outcome == retry.NotRun:
		return &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeTargetRefused, Outcome: retry.NotRun,
			RetryAfter: time.Second, Message: "the target refused the request",
		}
	default:
		return fromAttempts(err, j.outcome)
	}
}

// joined corrects a later problem by what earlier attempts may have done.
func (f *Front) joined(j *job, p *Problem) *Problem {
	if j.outcome != "" {
		p.Outcome = retry.Worse(j.outcome, p.Outcome)
	}
	return p
}

// fail ends a job with a problem: the claim is given back only if nothing ran.
func (f *Front) fail(w http.ResponseWriter, j *job, p *Problem) {
	if j.ticket != nil && p.Outcome == retry.NotRun {
		f.Claims.Release(j.ticket)
	}
	p.write(w)
	f.finish(j, p.Outcome, p.Code)
}

// finish tells the observer and the log of a job's end, once.
func (f *Front) finish(j *job, outcome retry.Outcome, code Code) {
	if j.done {
		return
	}
	j.done = true
	now := f.Clock()
	end := Finished{
		Workspace: j.workspace.Name, Service: j.service.Name, Outcome: outcome, Code: code, Warm: j.warm, Tries: j.tries,
		Whole: now.Sub(j.arrived),
	}
	if !j.found.IsZero() {
		end.Waited = j.found.Sub(j.arrived)
	}
	if !j.first.IsZero() {
		end.FirstByte = j.first.Sub(j.arrived)
	}
	f.Observer.Finished(end)
	_ = level.Info(f.Logger).Log("msg", "request", "request", j.id, "attempt", j.attempt, "workspace", j.workspace.Name, "service", j.service.Name,
		"chat", strconv.FormatUint(uint64(j.key), 16), "outcome", outcome, "code", code, "tries", j.tries, "ms", end.Whole.Milliseconds())
}
