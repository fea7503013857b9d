package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

// lastEventHeader carries the id of the last event that a caller has.
const lastEventHeader = "Last-Event-Id"

// serveChat serves a chat completion, whole or as a stream.
func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(lastEventHeader) != "" {
		f.serveResume(w, r)
		return
	}
	j, chat, problem := f.acceptChat(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	f.noteRequest()
	if err := f.Finder.Admit(r.Context(), j.workspace); err != nil {
		f.fail(w, j, fromRoute(err))
		return
	}
	if !chat.Stream {
		f.whole(w, r, j)
		return
	}
	f.stream(w, r, j)
}

// acceptChat reads a chat completion request and makes the job.
func (f *Front) acceptChat(w http.ResponseWriter, r *http.Request) (*job, chatRequest, *Problem) {
	from, problem := f.known(r)
	if problem != nil {
		return nil, chatRequest{}, problem
	}
	body, problem := f.readBody(w, r)
	if problem != nil {
		return nil, chatRequest{}, problem
	}
	chat, problem := parseChat(r, body)
	if problem != nil {
		return nil, chat, problem
	}
	key, problem := chatKey(from.workspace, r, chat)
	if problem != nil {
		return nil, chat, problem
	}
	tokens := int64(len(body) / bytesPerToken)
	request := f.view(from.workspace, r)
	request.Model = short(chat.Model)
	request.Stream = chat.Stream
	request.Messages = int64(len(chat.Messages))
	request.Tokens = tokens
	j, problem := f.accept(r, from, request)
	if problem != nil {
		return nil, chat, problem
	}
	j.read(r, body)
	j.key = key
	j.work = j.service.WorkOf(tokens, chat.MaxTokens)
	return j, chat, nil
}

// stream relays the events of a chat completion.
func (f *Front) stream(w http.ResponseWriter, r *http.Request, j *job) {
	if f.claimed(w, r, j) || f.held(w, j) {
		return
	}
	s, problem := f.attempt(r.Context(), j)
	if problem != nil {
		f.fail(w, j, problem)
		return
	}
	if s.reply.Status != http.StatusOK {
		f.relayRefusal(w, r, j, s)
		return
	}
	out := newEventWriter(w, f.Keys, j.workspace.Name, f.limits.Partial)
	f.pump(r.Context(), j, s, out, 0)
}

// relayRefusal passes on an answer that is not a stream, such as the target's own error.
func (f *Front) relayRefusal(w http.ResponseWriter, r *http.Request, j *job, s *sent) {
	body, err := s.reply.Whole()
	s.placement.Release()
	if err != nil {
		f.broke(r.Context(), j, s.placement.Target, s.at, err)
		if problem := f.after(r.Context(), j, s.placement, relay.StepOf(err), err); problem != nil {
			f.fail(w, j, problem)
			return
		}
		f.fail(w, j, fromAttempts(err, j.outcome))
		return
	}
	answer := claim.Answer{Status: s.reply.Status, Header: relay.CleanReply(s.reply.Header), Body: body}
	if j.ticket != nil {
		f.Claims.Finish(j.ticket, answer)
	}
	writeAnswer(w, answer)
	f.finish(j, retry.Done, CodeNone)
}

// pump copies events until the stream's end. When the engine dies, it goes on at
// another one from the prompt and the text already sent, if the policy allows.
func (f *Front) pump(ctx context.Context, j *job, s *sent, out *eventWriter, offset uint64) {
	for {
		err := f.copyEvents(j, s, out, offset)
		s.close()
		if err == nil {
			f.endStream(j, out)
			return
		}
		if out.broken {
			f.Finder.Cancelled(s.placement.Hash)
			f.finish(j, retry.Unknown, CodeCallerGone)
			return
		}
		f.judge(ctx, s.placement, false)
		f.broke(ctx, j, s.placement.Target, s.at, err)
		next, problem := f.resumeElsewhere(ctx, j, s, out, err)
		if problem != nil {
			out.fail(problem)
			f.finish(j, problem.Outcome, problem.Code)
			return
		}
		s, offset = next, 0
	}
}

// copyEvents passes events on until the end mark.
func (f *Front) copyEvents(j *job, s *sent, out *eventWriter, offset uint64) error {
	stream := s.reply.Events()
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
		if j.first.IsZero() {
			j.first = f.Clock()
		}
	}
}

func (f *Front) endStream(j *job, out *eventWriter) {
	out.end()
	f.Guard.Served(j.print)
	if j.ticket != nil && out.whole() {
		f.Claims.Finish(j.ticket, out.answer())
	}
	f.finish(j, retry.Done, CodeNone)
}

// resumeElsewhere finds another engine for a stream that broke off.
func (f *Front) resumeElsewhere(ctx context.Context, j *job, s *sent, out *eventWriter, cause error) (*sent, *Problem) {
	j.outcome = retry.Unknown
	allowed := j.decision.OnLoss == policy.Continue && j.decision.Repeat != retry.Never && f.Guard.HeldFor(j.print) == 0
	if ctx.Err() != nil || out.broken || !allowed || j.tries >= f.limits.Tries || !f.mayRetry() {
		return nil, fromAttempts(cause, retry.Unknown)
	}
	if !j.first.IsZero() {
		body, ok := continueBody(j.call.Body, out.text.String())
		if !ok || out.overflow {
			return nil, fromAttempts(cause, retry.Unknown)
		}
		j.call.Body = body
	}
	j.avoid = append(j.avoid, s.placement.Hash)
	next, problem := f.attempt(ctx, j)
	if problem != nil {
		return nil, problem
	}
	if next.reply.Status != http.StatusOK {
		next.close()
		return nil, fromAttempts(cause, retry.Unknown)
	}
	return next, nil
}

// continueBody asks for the rest of an answer of which a part is there: the
// messages so far, the part as the assistant's own, and no new turn. A part that a
// body from an earlier continuation ends with is replaced.
func continueBody(body []byte, text string) ([]byte, bool) {
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

// serveResume goes on with a stream from the last event that the caller has.
func (f *Front) serveResume(w http.ResponseWriter, r *http.Request) {
	from, problem := f.known(r)
	if problem != nil {
		problem.write(w)
		return
	}
	ws := from.workspace
	token, err := f.Keys.Open(ws.Name, r.Header.Get(lastEventHeader))
	if err != nil {
		bad(CodeBadResume, http.StatusBadRequest, "Last-Event-ID is missing or not an id that this workspace was given").write(w)
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
		// No other engine has the stream.
		later := &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Outcome: retry.Unknown, RetryAfter: backoff,
			Message: "the engine that has this stream wants no requests for a while",
		}
		later.write(w)
		return
	}
	j := &job{id: claim.NewAttempt(), workspace: ws, arrived: f.Clock(), found: f.Clock(), tries: 1,
		decision: policy.Decision{Repeat: retry.Never, OnLoss: policy.Fail}}
	reply, err := f.Sender.Send(r.Context(), relay.Call{
		Addr: target.Addr, Method: http.MethodGet, Path: "/v1/streams/" + token.Stream,
		Query:  "from=" + strconv.FormatUint(token.Offset, 10),
		Header: http.Header{"Accept": {eventStream}}, Attempt: j.id, Timeout: resumeTimeout,
	})
	if err != nil {
		f.fail(w, j, fromAttempts(err, retry.Unknown))
		return
	}
	s := &sent{placement: &route.Placement{Target: target, Hash: target.ID.Hash()}, reply: reply}
	f.observe(j, target, reply)
	if reply.Status != http.StatusOK {
		reply.Close()
		f.fail(w, j, gone)
		return
	}
	if reply.StreamID == "" {
		reply.StreamID = token.Stream
	}
	f.pump(r.Context(), j, s, newEventWriter(w, f.Keys, ws.Name, f.limits.Partial), token.Offset)
}

// deltaText is the text that one event of a chat completion adds.
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
