package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
)

// defaultMaxTokens is the bound of an answer whose request names none.
const defaultMaxTokens = 1024

// completionRequest is the published body of a completion request; unknown fields are passed over, as clients send many.
type completionRequest struct {
	Model     string `json:"model"` // Model is model, model/adapter or model/adapter@version.
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// choice is one choice of a completion.
type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// completion is the published body of a completion or of one piece of its stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usage counts the tokens of a completion.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// complete answers a completion request, streamed or whole.
func (f *Front) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		refuse(w, bodyRefusal(err))
		return
	}
	f.run(w, r, body)
}

// completeByQuery answers a completion request made by a browser's EventSource, which can only GET.
func (f *Front) completeByQuery(w http.ResponseWriter, r *http.Request) {
	body := completionRequest{Model: r.FormValue("model"), Prompt: r.FormValue("prompt"), Stream: true}
	if text := r.FormValue("max_tokens"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			refuse(w, deny.New(deny.KindMalformed, "max_tokens %q is not a number", text))
			return
		}
		body.MaxTokens = &n
	}
	if text := r.FormValue("seed"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			refuse(w, deny.New(deny.KindMalformed, "seed %q is not a number", text))
			return
		}
		body.Seed = seed
	}
	f.run(w, r, body)
}

// run runs a completion request, or goes on with one after its last event id.
func (f *Front) run(w http.ResponseWriter, r *http.Request, body completionRequest) {
	c := call(r, body.request(r.Header.Get(headerLastEventID)))
	if !body.Stream {
		f.whole(w, r, c, body.Model)
		return
	}
	s := newStream(w, c.ID, body.Model)
	c.Sink = s
	s.finish(f.handler(r.Context(), c))
}

// whole answers a completion in one piece.
func (f *Front) whole(w http.ResponseWriter, r *http.Request, c chain.Call, model string) {
	sink := &collector{}
	c.Sink = sink
	answer := f.handler(r.Context(), c)
	done, ok := answer.(chain.Streamed)
	if !ok {
		write(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, completion{
		ID:      c.ID,
		Object:  "text_completion",
		Model:   model,
		Choices: []choice{{Text: sink.text.String(), FinishReason: &done.Reason}},
		Usage:   &usage{CompletionTokens: done.Tokens},
	})
}

// request returns the request of the chain that a body asks for.
func (b completionRequest) request(lastEventID string) chain.Request {
	if lastEventID != "" {
		return chain.Resume{LastEventID: lastEventID, Prompt: b.Prompt}
	}
	limit := defaultMaxTokens
	if b.MaxTokens != nil {
		limit = *b.MaxTokens
	}
	model, adapter, version := conf.SplitGrant(b.Model)
	return chain.Generate{
		Model:     model,
		Adapter:   adapter,
		Version:   version,
		Prompt:    b.Prompt,
		Seed:      b.Seed,
		MaxTokens: limit,
	}
}

// bodyRefusal names the place of a fault in a JSON body.
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
