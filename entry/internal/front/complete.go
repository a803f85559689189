package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/body"
	"bramleywharf.example/entry/chain"
)

// defaultMaxTokens bounds a completion whose request has no max_tokens.
const defaultMaxTokens = 1024

// completionRequest is the body of a completion request. Its JSON names are part of the public interface.
// Unknown fields are ignored, because clients send many.
type completionRequest struct {
	Model     string `json:"model"` // Model has the form model, model/adapter or model/adapter@version.
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// choice is the text of a completion or of one event. The format has a list of choices; here it always has one.
type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// completion is the body of an unstreamed completion or of one event of a stream. Its JSON names are part of the
// public interface.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usage counts the generated tokens of a completion.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completeFromBody answers a completion request whose parameters are in a JSON body.
func (f *Front) completeFromBody(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(body.Bound(w, r, maxCompletionBody)).Decode(&request); err != nil {
		writeRefusal(w, bodyRefusal(err))
		return
	}
	f.runCompletion(w, r, request)
}

// completeFromQuery answers a completion request whose parameters are in the query, always as a stream.
// It serves the EventSource of browsers, which can only send GET requests.
func (f *Front) completeFromQuery(w http.ResponseWriter, r *http.Request) {
	request := completionRequest{Model: r.FormValue("model"), Prompt: r.FormValue("prompt"), Stream: true}
	if value := r.FormValue("max_tokens"); value != "" {
		maxTokens, err := strconv.Atoi(value)
		if err != nil {
			writeRefusal(w, deny.New(deny.KindMalformed, "max_tokens %q is not a number", value))
			return
		}
		request.MaxTokens = &maxTokens
	}
	if value := r.FormValue("seed"); value != "" {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			writeRefusal(w, deny.New(deny.KindMalformed, "seed %q is not a number", value))
			return
		}
		request.Seed = seed
	}
	f.runCompletion(w, r, request)
}

// runCompletion runs a completion request. With a Last-Event-ID header, it resumes the generation after that event.
func (f *Front) runCompletion(w http.ResponseWriter, r *http.Request, request completionRequest) {
	c := newCall(r, request.chainRequest(r.Header.Get(headerLastEventID)))
	if !request.Stream {
		f.runUnstreamed(w, r, c, request.Model)
		return
	}
	s := newStream(w, c.ID, request.Model)
	c.Sink = s
	s.finish(atStop(r.Context(), f.handler(r.Context(), c)))
}

// runUnstreamed runs a completion to its end and writes it as one JSON body.
func (f *Front) runUnstreamed(w http.ResponseWriter, r *http.Request, c chain.Call, model string) {
	sink := &collector{}
	c.Sink = sink
	answer := atStop(r.Context(), f.handler(r.Context(), c))
	streamed, ok := answer.(chain.Streamed)
	if !ok {
		writeAnswer(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, completion{
		ID:      c.ID,
		Object:  "text_completion",
		Model:   model,
		Choices: []choice{{Text: sink.text.String(), FinishReason: &streamed.Reason}},
		Usage:   &usage{CompletionTokens: streamed.Tokens},
	})
}

// chainRequest returns the request for the chain: Resume if there is a last event id, Generate otherwise.
func (r completionRequest) chainRequest(lastEventID string) chain.Request {
	if lastEventID != "" {
		return chain.Resume{LastEventID: lastEventID, Prompt: r.Prompt}
	}
	maxTokens := defaultMaxTokens
	if r.MaxTokens != nil {
		maxTokens = *r.MaxTokens
	}
	model, adapter, version := conf.ParseGrant(r.Model)
	return chain.Generate{
		Model:     model,
		Adapter:   adapter,
		Version:   version,
		Prompt:    r.Prompt,
		Seed:      r.Seed,
		MaxTokens: maxTokens,
	}
}

// bodyRefusal returns the refusal of a JSON body that could not be decoded; its detail says where the fault is.
func bodyRefusal(err error) deny.Refusal {
	switch e := err.(type) {
	case *http.MaxBytesError:
		return deny.New(deny.KindTooLarge, "body is over %d bytes", e.Limit)
	case *json.SyntaxError:
		return deny.New(deny.KindMalformed, "body is not JSON at byte %d: %v", e.Offset, e)
	case *json.UnmarshalTypeError:
		return deny.New(deny.KindMalformed, "field %s at byte %d must be a %s", e.Field, e.Offset, e.Type)
	default:
		return deny.New(deny.KindMalformed, "body is not whole JSON: %s", fmt.Sprint(err))
	}
}
