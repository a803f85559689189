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

// fixedIssuer always issues the same key.
type fixedIssuer struct{}

func (fixedIssuer) Issue(string) (string, error) { return "k", nil }

// responseFor returns the response to a request of a front end whose handler sends some tokens, then returns answer.
func responseFor(r *http.Request, answer chain.Answer, tokenCount int) *httptest.ResponseRecorder {
	handler := func(_ context.Context, c chain.Call) chain.Answer {
		for i := range tokenCount {
			_ = c.Sink.Token("id", flow.Token{Offset: i, Text: "x"})
		}
		return answer
	}
	w := httptest.NewRecorder()
	New(handler, fixedIssuer{}).ServeHTTP(w, r)
	return w
}

// TestAnswers checks how each kind of answer is encoded.
func TestAnswers(t *testing.T) {
	refused := chain.Refuse(deny.New(deny.KindLimit, "full").WithRetryAfter(1500000000))
	lost := chain.Refuse(deny.New(deny.KindLost, "gone").WithExecuted(deny.ExecutedUnknown))
	cases := map[string]struct {
		method, path, body string
		answer             chain.Answer
		tokenCount         int
		status             int
		contains           []string
		retryAfter         string
	}{
		"stream":                     {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: chain.Streamed{Reason: "stop"}, tokenCount: 2, status: 200, contains: []string{"id: id", "[DONE]", `"finish_reason":"stop"`}},
		"empty-stream":               {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: chain.Streamed{Reason: "length"}, status: 200, contains: []string{"[DONE]"}},
		"unstreamed":                 {method: "POST", path: "/v1/completions", body: `{}`, answer: chain.Streamed{Reason: "stop", Tokens: 2}, tokenCount: 2, status: 200, contains: []string{`"text":"xx"`, `"completion_tokens":2`}},
		"refused-before-first-token": {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: refused, status: 429, contains: []string{`"executed":"no"`, "urn:bramleywharf:refusal:limit"}, retryAfter: "2"},
		"refused-after-first-token":  {method: "POST", path: "/v1/completions", body: `{"stream":true}`, answer: lost, tokenCount: 1, status: 200, contains: []string{"event: error", `"executed":"unknown"`}},
		"service":                    {method: "PUT", path: "/v1/services/s/a/b?c=d", answer: chain.Whole{Status: 201, ContentType: "text/x", Body: []byte("made")}, status: 201, contains: []string{"made"}},
		"addresses":                  {method: "GET", path: "/v1/addresses", answer: chain.Addresses{List: []chain.Address{{Instance: "i", Address: "a:1"}}}, status: 200, contains: []string{`"instance":"i"`}},
		"key":                        {method: "GET", path: "/v1/keys", answer: chain.Addresses{Organisation: "o"}, status: 200, contains: []string{`"key":"k"`}},
		"key-for-unknown-caller":     {method: "GET", path: "/v1/keys", answer: chain.Refuse(deny.New(deny.KindUnauthorised, "who")), status: 401, contains: []string{"who"}},
		"nil-answer":                 {method: "GET", path: "/v1/addresses", status: 500, contains: []string{`"executed":"unknown"`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			w := responseFor(httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)), test.answer, test.tokenCount)
			c.Assert(w.Code, quicktest.Equals, test.status)
			for _, text := range test.contains {
				c.Assert(w.Body.String(), quicktest.Contains, text)
			}
			c.Assert(w.Header().Get("Retry-After"), quicktest.Equals, test.retryAfter)
		})
	}
}

// FuzzComplete checks that every request gets status 400 or 413 when the handler refuses it as malformed.
func FuzzComplete(f *testing.F) {
	f.Add(`{"model":"m/a@1","prompt":"p","max_tokens":3,"stream":true}`, "model=m&prompt=p", "AAAA")
	f.Fuzz(func(t *testing.T, body, query, lastEventID string) {
		answer := chain.Refuse(deny.New(deny.KindMalformed, "no"))
		post := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		post.Header.Set(headerLastEventID, lastEventID)
		get := httptest.NewRequest(http.MethodGet, "/v1/completions", nil)
		get.URL.RawQuery = query
		for _, r := range []*http.Request{post, get} {
			if w := responseFor(r, answer, 0); w.Code != http.StatusBadRequest && w.Code != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d", w.Code)
			}
		}
	})
}
