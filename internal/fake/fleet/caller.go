package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
	"valescale/internal/fake/target"
	"valescale/internal/oper/admin"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/peerpb"
)

var discardLog = stdlog.New(io.Discard, "", 0)

// Caller sends requests with the token of a workspace.
type Caller struct {
	HTTP  *http.Client
	Token string
}

// Result is the response that a caller received.
type Result struct {
	Status  int
	Outcome retry.Outcome
	Code    front.Code
	Text    string
	// Complete is set if the response was received completely.
	Complete bool
	// IDs contains the ids of a stream's events.
	IDs []string
	Err error
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Error struct {
		Code    front.Code    `json:"code"`
		Outcome retry.Outcome `json:"outcome"`
	} `json:"error"`
}

// Chat sends a question in a chat and reads the answer, as a stream of events or as one JSON body.
func (c *Caller) Chat(ctx context.Context, addr, chat, question string, words int, stream bool) Result {
	body, _ := json.Marshal(chatBody{Model: "m", Stream: stream, MaxTokens: words, Messages: []chatMessage{{"user", question}}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+front.ChatPath, bytes.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(front.ChatHeader, chat)
	return c.do(req)
}

// Resume continues a stream after the event with the id lastID.
func (c *Caller) Resume(ctx context.Context, addr, lastID string) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+front.ChatPath, nil)
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Last-Event-ID", lastID)
	return c.do(req)
}

// Order sends an order, which must not run twice, with an idempotency key.
func (c *Caller) Order(ctx context.Context, addr, key, body string) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", strings.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Idempotency-Key", key)
	return c.do(req)
}

// Get reads a path of a plain service.
func (c *Caller) Get(ctx context.Context, addr, path string) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return Result{Err: err}
	}
	return c.do(req)
}

func (c *Caller) do(req *http.Request) Result {
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp)
	}
	data, err := io.ReadAll(resp.Body)
	r := Result{Status: resp.StatusCode, Outcome: retry.Outcome(resp.Header.Get(front.OutcomeHeader)), Err: err, Complete: err == nil}
	var decoded completion
	if json.Unmarshal(data, &decoded) == nil {
		r.Code = decoded.Error.Code
	}
	if len(decoded.Choices) > 0 {
		r.Text = decoded.Choices[0].Message.Content
	} else {
		r.Text = string(data)
	}
	return r
}

func readStream(resp *http.Response) Result {
	r := Result{Status: resp.StatusCode}
	scanner := bufio.NewScanner(resp.Body)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			r.IDs = append(r.IDs, line[len("id: "):])
		case line == "event: error":
			failed = true
		case line == "data: "+relay.EndMark:
			r.Complete = true
		case strings.HasPrefix(line, "data: "):
			var decoded completion
			if json.Unmarshal([]byte(line[len("data: "):]), &decoded) != nil {
				continue
			}
			if failed {
				r.Code, r.Outcome = decoded.Error.Code, decoded.Error.Outcome
				continue
			}
			if len(decoded.Choices) > 0 {
				r.Text += decoded.Choices[0].Delta.Content
			}
		}
	}
	r.Err = scanner.Err()
	if r.Complete {
		r.Outcome = retry.Done
	}
	return r
}

// Correct reports whether a result is the complete and correct answer to a question.
func (r Result) Correct(question string, words int) bool {
	return r.Complete && r.Status == http.StatusOK && r.Text == target.Answer(question, words)
}

// Operator changes the fleet's configuration through the admin service of a router.
type Operator struct {
	Client peerpb.AdminServiceClient
}

// NewOperator returns an operator whose client calls the router with the given admin address.
func NewOperator(client *http.Client, addr string) *Operator {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+OperatorToken)
			return next(ctx, req)
		}
	})
	return &Operator{Client: peerpb.NewAdminServiceClient(client, "http://"+addr, connect.WithInterceptors(auth))}
}

// Apply submits the documents in text as one change and returns its revision.
func (o *Operator) Apply(ctx context.Context, id, text string) (ident.Revision, error) {
	documents, err := policy.Split("fleet.ini", []byte(text))
	if err != nil {
		return 0, err
	}
	reply, err := o.Client.Apply(ctx, connect.NewRequest(&peerpb.ApplyRequest{
		ChangeId: id, Documents: admin.EncodeDocuments(documents), Note: "fleet",
	}))
	if err != nil {
		return 0, err
	}
	if len(reply.Msg.GetProblems()) > 0 {
		return 0, connect.NewError(connect.CodeInvalidArgument, errors.New(reply.Msg.GetProblems()[0].GetMessage()))
	}
	return ident.Revision(reply.Msg.GetRevision()), nil
}
