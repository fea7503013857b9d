package front

import (
	"net/http"
	"slices"
	"time"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

// servePlain serves a request to a plain service.
func (f *Front) servePlain(w http.ResponseWriter, r *http.Request) {
	from, problem := f.authenticate(r)
	if problem != nil {
		problem.write(w)
		return
	}
	j, problem := f.newJob(r, from, f.policyRequest(from.workspace, r))
	if problem != nil {
		problem.write(w)
		return
	}
	if !f.admit(w, r, j) {
		return
	}
	buffer, body, problem := f.readBody(w, r, j.workspace.Name)
	defer buffer.Close()
	if problem == nil {
		problem = f.stopProblem(j)
	}
	if problem != nil {
		buffer.Close()
		f.refuse(w, r, problem, func() { f.fail(w, j, problem) })
		return
	}
	j.setBody(r, body, nil)
	j.key = plainKey(j.workspace, j.id, r)
	f.serveBuffered(w, r, j)
}

// plainKey returns the chat key by which requests of one chat are routed to the same target.
// Without a chat id from the caller, each request has a key of its own.
func plainKey(w policy.Workspace, id ident.Attempt, r *http.Request) ident.ChatKey {
	if chat := r.Header.Get(ChatHeader); chat != "" {
		return ident.NewChatKey(w.Name, "id:"+chat)
	}
	return ident.NewChatKey(w.Name, string(id))
}

// serveBuffered sends the request and responds to the caller once the answer is complete.
func (f *Front) serveBuffered(w http.ResponseWriter, r *http.Request, j *job) {
	if f.respondFromClaim(w, r, j) || f.rejectQuarantined(w, j) {
		return
	}
	for {
		s, problem := f.sendWithRetries(r.Context(), j)
		if problem != nil {
			f.fail(w, j, problem)
			return
		}
		reserved := f.Memory.Open(memory.Answers, memory.Owner{Workspace: j.workspace.Name})
		defer reserved.Close()
		body, err := s.reply.Whole(reserved)
		s.placement.Release()
		if err != nil {
			reserved.Close()
			f.reportInterrupted(r.Context(), j, s.placement.Target, s.sentAt, err)
			if problem := f.handleFailure(r.Context(), j, s.placement, relay.StepOf(err), err); problem != nil {
				f.fail(w, j, problem)
				return
			}
			continue
		}
		answer := claim.Answer{Status: s.reply.Status, Header: relay.CleanReply(s.reply.Header), Body: body}
		if j.ticket != nil {
			f.Claims.Finish(j.ticket, answer)
		}
		j.firstByteAt = f.Clock()
		if answer.Status < http.StatusMultipleChoices {
			f.Guard.Served(j.traits)
		}
		f.writeAnswer(w, answer)
		f.finish(j, retry.Done, CodeNone)
		return
	}
}

// maxWriteBytes is the part of an answer that a caller has to read within the timeout of a write.
const maxWriteBytes = 64 << 10

// writeAnswer sends a complete answer of a target to the caller, or a part of it if the caller does not read.
func (f *Front) writeAnswer(w http.ResponseWriter, a claim.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(OutcomeHeader, string(retry.Done))
	w.WriteHeader(a.Status)
	control := http.NewResponseController(w)
	for part := range slices.Chunk(a.Body, maxWriteBytes) {
		_ = control.SetWriteDeadline(time.Now().Add(f.limits.WriteTime))
		if _, err := w.Write(part); err != nil {
			return
		}
	}
	// The connection may be used for further requests.
	_ = control.SetWriteDeadline(time.Time{})
}
