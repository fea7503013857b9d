package front

import (
	"encoding/json"
	"mime"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"valescale/internal/edge/linger"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/policy"
	"valescale/internal/share/config"
)

// The cost estimate of policies assumes these limits on the texts and headers that a policy
// evaluates.
const (
	maxPolicyTextBytes = 256
	maxPolicyHeaders   = 64
	maxKeyBytes        = 256
	maxChatIDBytes     = 256
)

// identify returns the workspace of a request by its client certificate or bearer token.
func identify(inForce config.InForce, r *http.Request) (policy.Workspace, *Problem) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if w, ok := inForce.Set.ByCert(r.TLS.PeerCertificates[0].Subject.CommonName); ok {
			return w, nil
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "bearer") && token != "" {
		if w, ok := inForce.Set.ByToken(token); ok {
			return w, nil
		}
	}
	return policy.Workspace{}, notRun(CodeUnauthorized, http.StatusUnauthorized, "no known bearer token or client certificate")
}

// readBody reads the body of a request, limited in size, time and the memory of the box. The buffer must be closed
// when the request ends.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, workspace ident.Workspace) (*memory.Buffer, []byte, *Problem) {
	buffer := memory.NewBuffer(f.Memory.Open(memory.Bodies, memory.Owner{Workspace: workspace}))
	if r.ContentLength > min(f.limits.Body, int64(f.Memory.MaxReservation())) {
		return buffer, nil, tooLarge()
	}
	if !buffer.HasRoom(r.ContentLength) {
		return buffer, nil, f.noRoom(r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(f.limits.BodyTime))
	err := buffer.Read(http.MaxBytesReader(w, r.Body, f.limits.Body), r.ContentLength, f.limits.Body+1)
	_ = control.SetReadDeadline(time.Time{})
	var data []byte
	if err == nil {
		data, err = buffer.Join()
	}
	var overLimit *http.MaxBytesError
	switch {
	case err == nil:
		return buffer, data, nil
	case errors.As(err, &overLimit), fault.KindOf[memory.Kind](err) == memory.Full && buffer.AtMaximum():
		return buffer, nil, tooLarge()
	case fault.KindOf[memory.Kind](err) == memory.Full:
		return buffer, nil, f.noRoom(buffer.Len())
	default:
		return buffer, nil, notRun(CodeBadRequest, http.StatusBadRequest, "the body could not be read")
	}
}

// stopProblem returns the problem for a request that is whole only now, while the router stops, and may not be answered
// before the router ends; nil if there is none. No time of an answer is certain but the limits of the request.
func (f *Front) stopProblem(j *job) *Problem {
	if !f.StopsBefore(f.Clock().Add(j.decision.Wait + j.service.Timeout)) {
		return nil
	}
	return stopping()
}

// repeatStopProblem returns the problem for a request whose next attempt may not be answered before the router ends, or nil. The
// attempts before it have used up some of the time that the request was accepted with.
func (f *Front) repeatStopProblem(j *job) *Problem {
	if j.attempts == 0 || !f.StopsBefore(f.Clock().Add(j.service.Timeout)) {
		return nil
	}
	return f.mergeOutcome(j, stopping())
}

// stopping returns the problem of a request that another router is to take.
func stopping() *Problem {
	p := notRun(CodeStopping, http.StatusServiceUnavailable, "this router is stopping")
	p.RetryAfter = stopRetryAfter
	return p
}

// stopRetryAfter is the delay of a caller whose request a stopping router does not take: it meets another one.
const stopRetryAfter = 5 * time.Millisecond

// refuse calls write, which answers a request with a problem. If the body was left for its size, the rest of it is read
// so that the answer reaches its caller. Other callers, such as unknown ones, can cause no load by a body.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, problem *Problem, write func()) {
	if problem.Code == CodeNoMemory || problem.Code == CodeTooLarge {
		linger.Answer(w, r, f.limits.Body, write)
		return
	}
	write()
}

// tooLarge returns the problem of a body that is larger than the settings, or the memory of this box, allow.
func tooLarge() *Problem {
	return notRun(CodeTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than allowed")
}

// noRoom returns the problem of a request of the given size, or -1 if it is unknown, that this box has no memory for.
func (f *Front) noRoom(size int64) *Problem {
	p := notRun(CodeNoMemory, http.StatusServiceUnavailable, "this router has no memory for the request at present")
	_ = level.Info(f.Logger).Log("msg", "no memory left for a request", "bytes", size, "limit_bytes", int64(f.Memory.Usage().Limit))
	p.RetryAfter = f.memoryDelays.Next(f.Clock(), f.Memory.TurnoverPerSecond(), size)
	return p
}

// chatRequest contains the fields of a chat completion request that the router uses. The body is
// forwarded with all other fields unchanged.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// maxParts limits the messages of a chat by which the guard knows a request: the first and the last ones.
const maxParts = 64

// parts returns the parts of the prompt that other requests may share: the messages.
func (c chatRequest) parts() []ident.PartHash {
	messages := c.Messages
	if len(messages) > maxParts {
		messages = slices.Concat(messages[:maxParts/2], messages[len(messages)-maxParts/2:])
	}
	out := make([]ident.PartHash, 0, len(messages))
	for _, m := range messages {
		out = append(out, ident.NewPartHash(m.Role+"\x00"+string(m.Content)))
	}
	return out
}

// bytesPerToken is the ratio by which the number of tokens is estimated from the size of the body.
const bytesPerToken = 4

func parseChat(r *http.Request, body []byte) (chatRequest, *Problem) {
	var c chatRequest
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return c, notRun(CodeBadRequest, http.StatusUnsupportedMediaType, "Content-Type must be application/json")
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, notRun(CodeBadRequest, http.StatusBadRequest, "the body is not a chat completion request: "+err.Error())
	}
	if len(c.Messages) == 0 {
		return c, notRun(CodeBadRequest, http.StatusBadRequest, "messages is empty")
	}
	for _, m := range c.Messages {
		if m.Role == "" {
			return c, notRun(CodeBadRequest, http.StatusBadRequest, "a message has no role")
		}
	}
	return c, nil
}

// ChatHeader contains the id that the caller assigned to a chat.
const ChatHeader = "Valescale-Chat"

// chatKey identifies a chat by the id that the caller assigned, or else by the messages up to the
// first user message, which stay the same as the chat grows.
func chatKey(w policy.Workspace, r *http.Request, c chatRequest) (ident.ChatKey, *Problem) {
	if id := r.Header.Get(ChatHeader); id != "" {
		if len(id) > maxChatIDBytes {
			return 0, notRun(CodeBadRequest, http.StatusBadRequest, ChatHeader+" is too long")
		}
		return ident.NewChatKey(w.Name, "id:"+id), nil
	}
	var prefix strings.Builder
	for _, m := range c.Messages {
		prefix.WriteString(m.Role + "\x00")
		prefix.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return ident.NewChatKey(w.Name, "lead:"+prefix.String()), nil
}

// policyRequest returns the properties of a request that a policy can evaluate, without credentials.
func (f *Front) policyRequest(w policy.Workspace, r *http.Request) *policy.Request {
	headers := make(map[string]string, min(len(r.Header), maxPolicyHeaders))
	for name, values := range r.Header {
		if len(headers) == maxPolicyHeaders {
			break
		}
		if name != "Authorization" && name != "Cookie" {
			headers[strings.ToLower(name)] = truncate(values[0])
		}
	}
	return &policy.Request{
		Method:    r.Method,
		Path:      truncate(r.URL.Path),
		Headers:   headers,
		Key:       truncate(r.Header.Get(keyHeader)),
		Workspace: string(w.Name),
		Zone:      string(f.Zone),
		Hour:      int64(f.Clock().UTC().Hour()),
	}
}

func truncate(text string) string {
	if len(text) > maxPolicyTextBytes {
		return text[:maxPolicyTextBytes]
	}
	return text
}
