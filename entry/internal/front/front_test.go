package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
)

// noKeys issues no keys.
type noKeys struct{}

func (noKeys) Issue(string) (string, error) { return "k", nil }

// respond returns the response of a front end whose chain gives an answer after some tokens.
func respond(r *http.Request, answer chain.Answer, tokens int) *httptest.ResponseRecorder {
	handler := func(_ context.Context, c chain.Call) chain.Answer {
		for i := range tokens {
			_ = c.Sink.Token("id", flow.Token{Offset: i, Text: "x"})
		}
		return answer
	}
	w := httptest.NewRecorder()
	New(handler, noKeys{}).ServeHTTP(w, r)
	return w
}

// TestAnswers checks how each answer of the chain is encoded.
func TestAnswers(t *testing.T) {
	refused := chain.Refuse(deny.New(deny.KindLimit, "full").WithRetryAfter(1500000000))
	lost := chain.Refuse(deny.New(deny.KindLost, "gone").WithExecuted(deny.ExecutedUnknown))
	cases := map[string]struct {
		method, path, body string
		answer             chain.Answer
		tokens             int
		status             int
		says               []string
		header             string // header is the Retry-After expected.
	}{
		"stream":           {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: chain.Streamed{Reason: "stop"}, tokens: 2, status: 200, says: []string{"id: id", "[DONE]", `"finish_reason":"stop"`}},
		"empty-stream":     {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: chain.Streamed{Reason: "length"}, status: 200, says: []string{"[DONE]"}},
		"whole":            {method: "POST", path: "/v1/completions", body: `{}`, answer: chain.Streamed{Reason: "stop", Tokens: 2}, tokens: 2, status: 200, says: []string{`"text":"xx"`, `"completion_tokens":2`}},
		"refused-at-once":  {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: refused, status: 429, says: []string{`"executed":"no"`, "urn:bramleywharf:refusal:limit"}, header: "2"},
		"refused-midway":   {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: lost, tokens: 1, status: 200, says: []string{"event: error", `"executed":"unknown"`}},
		"service":          {method: "PUT", path: "/v1/services/s/a/b?c=d", answer: chain.Whole{Status: 201, ContentType: "text/x", Body: []byte("made")}, status: 201, says: []string{"made"}},
		"addresses":        {method: "GET", path: "/v1/addresses", answer: chain.Addresses{List: []chain.Address{{Instance: "i", Address: "a:1"}}}, status: 200, says: []string{`"instance":"i"`}},
		"key":              {method: "GET", path: "/v1/keys", answer: chain.Addresses{Organisation: "o"}, status: 200, says: []string{`"key":"k"`}},
		"key-refused":      {method: "GET", path: "/v1/keys", answer: chain.Refuse(deny.New(deny.KindUnauthorised, "who")), status: 401, says: []string{"who"}},
		"no-answer-at-all": {method: "GET", path: "/v1/addresses", status: 500, says: []string{`"executed":"unknown"`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			w := respond(httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)), test.answer, test.tokens)
			c.Assert(w.Code, quicktest.Equals, test.status)
			for _, text := range test.says {
				c.Assert(w.Body.String(), quicktest.Contains, text)
			}
			c.Assert(w.Header().Get("Retry-After"), quicktest.Equals, test.header)
		})
	}
}

func FuzzComplete(f *testing.F) {
	f.Add(`{"model":"m/a@1","prompt":"p","max_tokens":3,"stream":true}`, "model=m&prompt=p", "AAAA")
	f.Fuzz(func(t *testing.T, body, query, id string) {
		answer := chain.Refuse(deny.New(deny.KindMalformed, "no"))
		post := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		post.Header.Set(headerLastEventID, id)
		get := httptest.NewRequest(http.MethodGet, "/v1/completions", nil)
		get.URL.RawQuery = query
		for _, r := range []*http.Request{post, get} {
			if w := respond(r, answer, 0); w.Code != http.StatusBadRequest && w.Code != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d", w.Code)
			}
		}
	})
}
