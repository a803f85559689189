package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// ErrCut is returned for a stream that ended before its last event.
var ErrCut = errors.New("stream ended before its last event")

// Request is the body of a completion request.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// Answer holds what a caller has received of one generation; a resumed stream appends to it.
type Answer struct {
	Tokens  []string
	Times   []time.Time // Times holds the arrival time of each token.
	LastID  string
	Done    bool
	Problem string // Problem is the data of the error event that ended the stream, or empty.
}

// Result is the response of a plain service.
type Result struct {
	Status int
	Body   string
}

// Caller sends requests to entry instances with the key of an organisation.
type Caller struct {
	key    string
	client *http.Client
}

// New returns a caller that authenticates with a key.
func New(key string) *Caller {
	return &Caller{key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// LongestGap returns the longest time between two tokens.
func (a *Answer) LongestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.Times); i++ {
		longest = max(longest, a.Times[i].Sub(a.Times[i-1]))
	}
	return longest
}

// Text returns the tokens joined.
func (a *Answer) Text() string {
	return strings.Join(a.Tokens, "")
}

// Get decodes the JSON at a path of an instance, engine or service into a value.
func (c *Caller) Get(ctx context.Context, address, path string, value any) error {
	response, err := c.do(ctx, http.MethodGet, address, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return errors.Errorf("%s answered %s: %s", path, response.Status, body)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

// Order posts a JSON body to a plain service with an idempotency key.
func (c *Caller) Order(ctx context.Context, address, path, key, body string) (Result, error) {
	header := map[string]string{"Idempotency-Key": key, "Content-Type": "application/json"}
	response, err := c.do(ctx, http.MethodPost, address, path, []byte(body), header)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{}, fmt.Errorf("read answer: %w", err)
	}
	return Result{Status: response.StatusCode, Body: string(text)}, nil
}

// Stream requests a generation and appends its tokens to the answer, resuming after the answer's last event id if it
// has one. It calls onEvent after every event but the last.
func (c *Caller) Stream(ctx context.Context, address string, r Request, a *Answer, onEvent func()) error {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	header := map[string]string{"Content-Type": "application/json"}
	if a.LastID != "" {
		header["Last-Event-ID"] = a.LastID
	}
	response, err := c.do(ctx, http.MethodPost, address, "/v1/completions", body, header)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return errors.Errorf("refused: %s", text)
	}
	for e, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
		if a.addEvent(e) {
			return nil
		}
		if onEvent != nil {
			onEvent()
		}
	}
	return ErrCut
}

// do sends a request that is authenticated with the caller's key.
func (c *Caller) do(ctx context.Context, method, address, path string, body []byte, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return response, nil
}

// addEvent adds one event to the answer and reports whether it was the last.
func (a *Answer) addEvent(e sse.Event) bool {
	if e.Type == "error" {
		a.Problem = e.Data
		return true
	}
	if e.Data == "[DONE]" {
		a.Done = true
		return true
	}
	var chunk struct {
		Choices []struct {
			Text   string  `json:"text"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(e.Data), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Finish != nil {
		return false
	}
	a.Tokens = append(a.Tokens, chunk.Choices[0].Text)
	a.Times = append(a.Times, time.Now())
	a.LastID = e.LastEventID
	return false
}
