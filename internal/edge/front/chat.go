package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

// lastEventHeader contains the id of the last event that the caller received.
const lastEventHeader = "Last-Event-Id"

// serveChat serves a chat completion, buffered or as a stream.
func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(lastEventHeader) != "" {
		f.serveResume(w, r)
		return
	}
	j, chat, problem := f.newChatJob(w, r)
	if problem != nil {
		f.refuse(w, r, problem, func() { problem.write(w) })
		return
	}
	defer j.buffer.Close()
	if !f.admit(w, r, j) {
		return
	}
	if !chat.Stream {
		f.serveBuffered(w, r, j)
		return
	}
	f.serveStream(w, r, j)
}

// newChatJob reads a chat completion request and returns its job.
func (f *Front) newChatJob(w http.ResponseWriter, r *http.Request) (*job, chatRequest, *Problem) {
	from, problem := f.authenticate(r)
	if problem != nil {
		return nil, chatRequest{}, problem
	}
	buffer, body, problem := f.readBody(w, r, from.workspace.Name)
	if problem != nil {
		buffer.Close()
		return nil, chatRequest{}, problem
	}
	j, chat, problem := f.parseChatJob(r, from, body)
	if problem == nil {
		problem = f.stopProblem(j)
	}
	if problem != nil {
		buffer.Close()
		return nil, chat, problem
	}
	j.buffer = buffer
	return j, chat, nil
}

// parseChatJob returns the job of a chat completion request with the given body.
func (f *Front) parseChatJob(r *http.Request, from caller, body []byte) (*job, chatRequest, *Problem) {
	chat, problem := parseChat(r, body)
	if problem != nil {
		return nil, chat, problem
	}
	key, problem := chatKey(from.workspace, r, chat)
	if problem != nil {
		return nil, chat, problem
	}
	tokens := int64(len(body) / bytesPerToken)
	request := f.policyRequest(from.workspace, r)
	request.Model = truncate(chat.Model)
	request.Stream = chat.Stream
	request.Messages = int64(len(chat.Messages))
	request.Tokens = tokens
	j, problem := f.newJob(r, from, request)
	if problem != nil {
		return nil, chat, problem
	}
	j.setBody(r, body, chat.parts())
	j.key = key
	j.work = j.service.WorkOf(tokens, chat.MaxTokens)
	return j, chat, nil
}

// serveStream relays the events of a chat completion.
func (f *Front) serveStream(w http.ResponseWriter, r *http.Request, j *job) {
	if f.respondFromClaim(w, r, j) || f.rejectQuarantined(w, j) {
		return
	}
	s, problem := f.sendWithRetries(r.Context(), j)
	if problem != nil {
		f.fail(w, j, problem)
		return
	}
	if s.reply.Status != http.StatusOK {
		f.relayBuffered(w, r, j, s)
		return
	}
	reserved := f.Memory.Open(memory.Streams, memory.Owner{Workspace: j.workspace.Name})
	defer reserved.Close()
	out := f.newEventWriter(w, reserved, j.workspace.Name)
	f.relayStream(r.Context(), j, s, out, 0)
}

// relayBuffered relays an answer that is not a stream, such as an error response of the target.
func (f *Front) relayBuffered(w http.ResponseWriter, r *http.Request, j *job, s *response) {
	reserved := f.Memory.Open(memory.Answers, memory.Owner{Workspace: j.workspace.Name})
	defer reserved.Close()
	body, err := s.reply.Whole(reserved)
	s.placement.Release()
	if err != nil {
		f.reportInterrupted(r.Context(), j, s.placement.Target, s.sentAt, err)
		if problem := f.handleFailure(r.Context(), j, s.placement, relay.StepOf(err), err); problem != nil {
			f.fail(w, j, problem)
			return
		}
		f.fail(w, j, attemptProblem(err, j.outcome))
		return
	}
	answer := claim.Answer{Status: s.reply.Status, Header: relay.CleanReply(s.reply.Header), Body: body}
	if j.ticket != nil {
		f.Claims.Finish(j.ticket, answer)
	}
	f.writeAnswer(w, answer)
	f.finish(j, retry.Done, CodeNone)
}

// relayStream copies events until the end of the stream. If the engine fails, the stream is
// continued on another one from the prompt and the text already sent, if the policy allows that.
func (f *Front) relayStream(ctx context.Context, j *job, s *response, out *eventWriter, offset uint64) {
	for {
		err := f.copyEvents(j, s, out, offset)
		s.close()
		if err == nil {
			f.endStream(j, out)
			return
		}
		if out.callerGone {
			f.Finder.ReportCancelled(s.placement.Hash)
			f.finish(j, retry.Unknown, CodeCallerGone)
			return
		}
		if !lacksMemory(err) {
			f.recordResult(ctx, s.placement, false)
		}
		f.reportInterrupted(ctx, j, s.placement.Target, s.sentAt, err)
		next, problem := f.continueOnOtherEngine(ctx, j, s, out, err)
		if problem != nil {
			out.writeProblem(problem)
			f.finish(j, problem.Outcome, problem.Code)
			out.abort()
			return
		}
		s, offset = next, 0
	}
}

// copyEvents relays events to the caller until the end marker.
func (f *Front) copyEvents(j *job, s *response, out *eventWriter, offset uint64) error {
	stream := s.reply.Events(out.reserved)
	token := relay.Token{
		Target: s.placement.Target.ID, Incarnation: s.placement.Target.Incarnation, Stream: s.reply.StreamID, Offset: offset,
	}
	for {
		e, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		token.Offset++
		if err := out.event(token, e); err != nil {
			return err
		}
		if j.firstByteAt.IsZero() {
			j.firstByteAt = f.Clock()
		}
	}
}

func (f *Front) endStream(j *job, out *eventWriter) {
	out.end()
	f.Guard.Served(j.traits)
	if j.ticket != nil && out.recordingComplete() {
		f.Claims.Finish(j.ticket, out.recordedAnswer())
	}
	f.finish(j, retry.Done, CodeNone)
}

// continueOnOtherEngine continues an interrupted stream on another engine.
func (f *Front) continueOnOtherEngine(ctx context.Context, j *job, s *response, out *eventWriter, cause error) (*response, *Problem) {
	j.outcome = retry.Unknown
	allowed := j.decision.OnLoss == policy.Continue && j.decision.Repeat != retry.Never && f.Guard.Quarantine(j.traits).Left == 0
	if ctx.Err() != nil || out.callerGone || lacksMemory(cause) || !allowed || j.attempts >= f.limits.Tries || !f.takeRetryToken() {
		return nil, attemptProblem(cause, retry.Unknown)
	}
	if !j.firstByteAt.IsZero() {
		body, ok := continuationBody(j.call.Body, out.text.String())
		if !ok || out.textTruncated {
			return nil, attemptProblem(cause, retry.Unknown)
		}
		j.call.Body = body
	}
	j.avoid = append(j.avoid, s.placement.Hash)
	next, problem := f.sendWithRetries(ctx, j)
	if problem != nil {
		return nil, problem
	}
	if next.reply.Status != http.StatusOK {
		next.close()
		return nil, attemptProblem(cause, retry.Unknown)
	}
	return next, nil
}

// lacksMemory reports whether an attempt failed for want of memory in this router. That is no failure of the target,
// and another answer would have no room either.
func lacksMemory(err error) bool { return fault.KindOf[relay.Kind](err) == relay.NoMemory }

// continuationBody returns the body of a request for the rest of an answer: the messages so far,
// followed by the received text as an assistant message that the engine is to continue instead of
// starting a new turn. The assistant message of an earlier continuation is replaced.
func continuationBody(body []byte, text string) ([]byte, bool) {
	var fields map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return nil, false
	}
	if string(fields["continue_final_message"]) == "true" && len(messages) > 0 {
		messages = messages[:len(messages)-1]
	}
	part, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, false
	}
	joined, err := json.Marshal(append(messages, part))
	if err != nil {
		return nil, false
	}
	fields["messages"] = joined
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	out, err := json.Marshal(fields)
	return out, err == nil
}

// serveResume resumes a stream after the last event that the caller received.
func (f *Front) serveResume(w http.ResponseWriter, r *http.Request) {
	from, problem := f.authenticate(r)
	if problem != nil {
		problem.write(w)
		return
	}
	ws := from.workspace
	token, err := f.Keys.Open(ws.Name, r.Header.Get(lastEventHeader))
	if err != nil {
		notRun(CodeBadResume, http.StatusBadRequest, "Last-Event-ID is missing or not an id that this workspace was given").write(w)
		return
	}
	gone := &Problem{
		Status: http.StatusGone, Code: CodeStreamGone, Outcome: retry.Unknown, Message: "the engine no longer has this stream",
	}
	target, ok := f.Directory.Target(token.Target)
	if !ok || target.Incarnation != token.Incarnation || token.Stream == "" {
		gone.write(w)
		return
	}
	if backoff := f.Finder.BackoffLeft(target); backoff > 0 {
		// Only this engine has the stream.
		overloaded := &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Outcome: retry.Unknown, RetryAfter: backoff,
			Message: "the engine that has this stream wants no requests for a while",
		}
		overloaded.write(w)
		return
	}
	j := &job{id: claim.NewAttempt(), workspace: ws, arrivedAt: f.Clock(), foundAt: f.Clock(), attempts: 1,
		decision: policy.Decision{Repeat: retry.Never, OnLoss: policy.Fail}}
	reply, err := f.Sender.Send(r.Context(), relay.Call{
		Addr: target.Addr, Method: http.MethodGet, Path: "/v1/streams/" + token.Stream,
		Query:  "from=" + strconv.FormatUint(token.Offset, 10),
		Header: http.Header{"Accept": {eventStream}}, Attempt: j.id, Timeout: resumeTimeout,
	})
	if err != nil {
		f.fail(w, j, attemptProblem(err, retry.Unknown))
		return
	}
	s := &response{placement: &route.Placement{Target: target, Hash: target.ID.Hash()}, reply: reply}
	f.observe(j, target, reply)
	if reply.Status != http.StatusOK {
		reply.Close()
		f.fail(w, j, gone)
		return
	}
	if reply.StreamID == "" {
		reply.StreamID = token.Stream
	}
	reserved := f.Memory.Open(memory.Streams, memory.Owner{Workspace: ws.Name})
	defer reserved.Close()
	f.relayStream(r.Context(), j, s, f.newEventWriter(w, reserved, ws.Name), token.Offset)
}

// deltaText returns the text that an event of a chat completion appends to the answer.
func deltaText(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
