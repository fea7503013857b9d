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

	"valescale/internal/edge/front"
	"valescale/internal/edge/relay"
	"valescale/internal/fake/target"
	"valescale/internal/rule/retry"
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
	return c.ChatAfter(ctx, addr, chat, nil, question, words, stream)
}

// ChatAfter is Chat in a chat that has begun with some messages of the system.
func (c *Caller) ChatAfter(ctx context.Context, addr, chat string, earlier []string, question string, words int, stream bool) Result {
	var messages []chatMessage
	for _, text := range earlier {
		messages = append(messages, chatMessage{"system", text})
	}
	messages = append(messages, chatMessage{"user", question})
	body, _ := json.Marshal(chatBody{Model: "m", Stream: stream, MaxTokens: words, Messages: messages})
	return c.do(ctx, http.MethodPost, addr, front.ChatPath, body, header{"Content-Type": "application/json", front.ChatHeader: chat})
}

// Resume continues a stream after the event with the id lastID.
func (c *Caller) Resume(ctx context.Context, addr, lastID string) Result {
	return c.do(ctx, http.MethodGet, addr, front.ChatPath, nil, header{"Last-Event-ID": lastID})
}

// Order sends an order, which must not run twice, with an idempotency key.
func (c *Caller) Order(ctx context.Context, addr, key, body string) Result {
	return c.do(ctx, http.MethodPost, addr, "/orders", []byte(body), header{"Idempotency-Key": key})
}

// Get reads a path of a plain service.
func (c *Caller) Get(ctx context.Context, addr, path string) Result {
	return c.do(ctx, http.MethodGet, addr, path, nil, nil)
}

// header contains the header fields of a request, by name.
type header map[string]string

// do sends a request with the caller's token and reads the response.
func (c *Caller) do(ctx context.Context, method, addr, path string, body []byte, fields header) Result {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp)
	}
	return readBody(resp)
}

// readBody reads an answer or an error as one JSON body. Another body is its text.
func readBody(resp *http.Response) Result {
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

// readStream reads an answer as a stream of events.
func readStream(resp *http.Response) Result {
	r := Result{Status: resp.StatusCode}
	scanner := bufio.NewScanner(resp.Body)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		id, isID := strings.CutPrefix(line, "id: ")
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case isID:
			r.IDs = append(r.IDs, id)
		case line == "event: error":
			failed = true
		case isData && data == relay.EndMark:
			r.Complete = true
		case isData:
			r.addEvent(data, failed)
		}
	}
	r.Err = scanner.Err()
	if r.Complete {
		r.Outcome = retry.Done
	}
	return r
}

// addEvent adds the data of an event: a part of the text, or an error after the event that announces it.
func (r *Result) addEvent(data string, failed bool) {
	var decoded completion
	switch {
	case json.Unmarshal([]byte(data), &decoded) != nil:
	case failed:
		r.Code, r.Outcome = decoded.Error.Code, decoded.Error.Outcome
	case len(decoded.Choices) > 0:
		r.Text += decoded.Choices[0].Delta.Content
	}
}

// Correct reports whether a result is the complete and correct answer to a question.
func (r Result) Correct(question string, words int) bool {
	return r.Complete && r.Status == http.StatusOK && r.Text == target.Answer(question, words)
}
