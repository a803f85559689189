package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/body"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

const (
	maxCompletionBody = 16 << 20 // maxCompletionBody bounds the body of a completion request, in bytes.
	maxServiceBody    = 1 << 20  // maxServiceBody bounds the body of a call of a plain service, in bytes.
	// bodyTimeout bounds the time to read such a body; callers wait a few seconds at most for these calls.
	bodyTimeout = 10 * time.Second
)

// Request headers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "Bramleywharf-Non-Idempotent"
	headerLastEventID    = "Last-Event-ID"
)

// Issuer issues idempotency keys for non-idempotent calls.
type Issuer interface {
	// Issue returns a new key for an organisation.
	Issue(organisation string) (string, error)
}

// Front answers callers over HTTP.
type Front struct {
	handler  chain.Handler
	mux      *http.ServeMux
	draining atomic.Bool // draining is true when new requests are refused while those in progress continue.
}

// New returns a front end that runs calls with the handler and issues keys with the issuer.
func New(handler chain.Handler, issuer Issuer) *Front {
	f := &Front{handler: handler, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /v1/completions", f.completeFromBody)
	f.mux.HandleFunc("GET /v1/completions", f.completeFromQuery)
	f.mux.HandleFunc("GET /v1/addresses", f.lookUpAddresses)
	f.mux.HandleFunc("GET /v1/keys", f.issueKey(issuer))
	f.mux.HandleFunc("/v1/services/{service}/{path...}", f.callService)
	f.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, deny.New(deny.KindUnknown, "%s %s is not part of this interface", r.Method, r.URL.Path))
	})
	return f
}

// ServeHTTP answers a request, or refuses it after Shut.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
		writeRefusal(w, deny.New(deny.KindUnavailable, "this instance is leaving; ask another for addresses").
			WithRetryAfter(drainingRetryAfter))
		return
	}
	f.mux.ServeHTTP(w, r)
}

// Shut makes the front end refuse new requests; those in progress continue.
func (f *Front) Shut() {
	f.draining.Store(true)
}

// lookUpAddresses answers with the instances that the caller should use.
func (f *Front) lookUpAddresses(w http.ResponseWriter, r *http.Request) {
	f.runCall(w, r, newCall(r, chain.Lookup{
		Model:  r.FormValue("model"),
		Prompt: r.FormValue("prompt"),
		Domain: r.FormValue("failure-domain"),
	}))
}

// runCall runs a call that is not streamed and writes its answer.
func (f *Front) runCall(w http.ResponseWriter, r *http.Request, c chain.Call) {
	writeAnswer(w, atStop(r.Context(), f.handler(r.Context(), c)))
}

// atStop returns the answer of a call, or a refusal for a caller that is still there since the instance stops.
func atStop(ctx context.Context, answer chain.Answer) chain.Answer {
	if _, left := answer.(chain.Left); left && errors.Is(context.Cause(ctx), chain.ErrStopping) {
		return chain.Refuse(deny.New(deny.KindOutcome, "%v", chain.ErrStopping).WithExecuted(deny.ExecutedUnknown))
	}
	return answer
}

// newCall returns a call for a chain request, with a new id and the caller's credential. The credential may also be
// the query parameter key, since the EventSource of browsers cannot set headers.
func newCall(r *http.Request, request chain.Request) chain.Call {
	credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if credential == "" {
		credential = r.URL.Query().Get("key")
	}
	return chain.Call{ID: cursor.NewID(), Credential: credential, Request: request}
}

// issueKey returns a handler that issues an idempotency key to the caller's organisation. It runs a look-up through
// the chain to learn which organisation the credential belongs to.
func (f *Front) issueKey(issuer Issuer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := f.handler(r.Context(), newCall(r, chain.Lookup{}))
		addresses, ok := answer.(chain.Addresses)
		if !ok {
			writeAnswer(w, answer)
			return
		}
		key, err := issuer.Issue(addresses.Organisation)
		if err != nil {
			writeRefusal(w, deny.New(deny.KindInternal, "no key can be issued"))
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"key": key})
	}
}

// callService runs a call of a plain service.
func (f *Front) callService(w http.ResponseWriter, r *http.Request) {
	content, err := body.Read(w, r, maxServiceBody, time.Now().Add(bodyTimeout))
	if err != nil {
		writeRefusal(w, deny.New(deny.KindTooLarge, "body is cut, too slow or over %d bytes", maxServiceBody))
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	f.runCall(w, r, newCall(r, chain.Invoke{
		Service:       r.PathValue("service"),
		Method:        r.Method,
		Path:          path,
		Key:           r.Header.Get(headerIdempotencyKey),
		ContentType:   r.Header.Get("Content-Type"),
		Body:          content,
		NonIdempotent: r.Header.Get(headerNonIdempotent) == "true",
	}))
}

// writeJSON writes a value as JSON with a status code.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
