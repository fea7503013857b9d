package front

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/share/config"
)

// maxPolicyText bounds each text that a policy sees, as its cost estimate assumes.
const (
	maxPolicyText    = 256
	maxPolicyHeaders = 64
	maxKey           = 256
	maxChatID        = 256
)

// identify tells which workspace a request is of.
func identify(force config.InForce, r *http.Request) (policy.Workspace, *Problem) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if w, ok := force.Set.ByCert(r.TLS.PeerCertificates[0].Subject.CommonName); ok {
			return w, nil
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "bearer") && token != "" {
		if w, ok := force.Set.ByToken(token); ok {
			return w, nil
		}
	}
	return policy.Workspace{}, bad(CodeUnauthorized, http.StatusUnauthorized, "no known bearer token or client certificate")
}

// readBody reads a request's body within the limits.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(f.limits.BodyTime))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.limits.Body))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bad(CodeTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than allowed")
	case err != nil:
		return nil, bad(CodeBadRequest, http.StatusBadRequest, "the body could not be read")
	}
	return data, nil
}

// chatRequest is what the router reads of a chat completion's body; the rest
// passes through unread.
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

// bytesPerToken estimates tokens from bytes.
const bytesPerToken = 4

func parseChat(r *http.Request, body []byte) (chatRequest, *Problem) {
	var c chatRequest
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return c, bad(CodeBadRequest, http.StatusUnsupportedMediaType, "Content-Type must be application/json")
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, bad(CodeBadRequest, http.StatusBadRequest, "the body is not a chat completion request: "+err.Error())
	}
	if len(c.Messages) == 0 {
		return c, bad(CodeBadRequest, http.StatusBadRequest, "messages is empty")
	}
	for _, m := range c.Messages {
		if m.Role == "" {
			return c, bad(CodeBadRequest, http.StatusBadRequest, "a message has no role")
		}
	}
	return c, nil
}

// ChatHeader carries the caller's own id of a chat.
const ChatHeader = "Valescale-Chat"

// chatKey identifies a chat by the caller's id, or else by the messages up to the
// first of the user's, which stay the same as the chat grows.
func chatKey(w policy.Workspace, r *http.Request, c chatRequest) (ident.ChatKey, *Problem) {
	if id := r.Header.Get(ChatHeader); id != "" {
		if len(id) > maxChatID {
			return 0, bad(CodeBadRequest, http.StatusBadRequest, ChatHeader+" is too long")
		}
		return ident.NewChatKey(w.Name, "id:"+id), nil
	}
	var lead strings.Builder
	for _, m := range c.Messages {
		lead.WriteString(m.Role + "\x00")
		lead.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return ident.NewChatKey(w.Name, "lead:"+lead.String()), nil
}

// view is what the policy sees of a request.
func (f *Front) view(w policy.Workspace, r *http.Request) *policy.Request {
	headers := make(map[string]string, min(len(r.Header), maxPolicyHeaders))
	for name, values := range r.Header {
		if len(headers) == maxPolicyHeaders {
			break
		}
		if name != "Authorization" && name != "Cookie" {
			headers[strings.ToLower(name)] = short(values[0])
		}
	}
	return &policy.Request{
		Method:    r.Method,
		Path:      short(r.URL.Path),
		Headers:   headers,
		Key:       short(r.Header.Get(keyHeader)),
		Workspace: string(w.Name),
		Zone:      string(f.Zone),
		Hour:      int64(f.Clock().UTC().Hour()),
	}
}

func short(text string) string {
	if len(text) > maxPolicyText {
		return text[:maxPolicyText]
	}
	return text
}
