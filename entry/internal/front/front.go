package front

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/token"
	"bramleywharf.example/entry/chain"
)

const (
	maxBody     = 16 << 20 // maxBody bounds the body of a generation, in bytes.
	maxCallBody = 1 << 20  // maxCallBody bounds the body of a plain service's call, in bytes.
)

// Headers of the callers' interface.
const (
	headerKey         = "Idempotency-Key"
	headerNoRepeat    = "Bramleywharf-Non-Idempotent"
	headerLastEventID = "Last-Event-ID"
)

// Issuer hands out keys for non-idempotent calls.
type Issuer interface {
	// Issue returns a new key for an organisation.
	Issue(organisation string) (string, error)
}

// Front answers callers over HTTP.
type Front struct {
	handler chain.Handler
	mux     *http.ServeMux
	closed  atomic.Bool
}

// New returns a front end of a chain and an issuer of keys.
func New(handler chain.Handler, issuer Issuer) *Front {
	f := &Front{handler: handler, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /v1/completions", f.complete)
	f.mux.HandleFunc("GET /v1/completions", f.completeByQuery)
	f.mux.HandleFunc("GET /v1/addresses", f.addresses)
	f.mux.HandleFunc("GET /v1/keys", f.key(issuer))
	f.mux.HandleFunc("/v1/services/{service}/{path...}", f.service)
	f.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, deny.New(deny.KindUnknown, "%s %s is not part of this interface", r.Method, r.URL.Path))
	})
	return f
}

// ServeHTTP answers a caller, or refuses while the front end is closed.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.closed.Load() {
		w.Header().Set("Connection", "close")
		refuse(w, deny.New(deny.KindUnavailable, "this instance is leaving; ask another for addresses").WithRetryAfter(retryNow))
		return
	}
	f.mux.ServeHTTP(w, r)
}

// Shut refuses new calls from now on; those under way go on.
func (f *Front) Shut() {
	f.closed.Store(true)
}

// addresses answers which instances to use.
func (f *Front) addresses(w http.ResponseWriter, r *http.Request) {
	f.answer(w, r, call(r, chain.Lookup{
		Model:  r.FormValue("model"),
		Prompt: r.FormValue("prompt"),
		Domain: r.FormValue("failure-domain"),
	}))
}

// answer runs a call that is not streamed and writes its answer.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, c chain.Call) {
	write(w, f.handler(r.Context(), c))
}

// call returns a call of a request with the caller's credential.
func call(r *http.Request, request chain.Request) chain.Call {
	credential := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if credential == "" {
		credential = r.URL.Query().Get("key")
	}
	return chain.Call{ID: token.NewID(), Credential: credential, Request: request}
}

// key answers a key that this instance issues to the organisation that a look-up identifies.
func (f *Front) key(issuer Issuer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := f.handler(r.Context(), call(r, chain.Lookup{}))
		list, ok := answer.(chain.Addresses)
		if !ok {
			write(w, answer)
			return
		}
		key, err := issuer.Issue(list.Organisation)
		if err != nil {
			refuse(w, deny.New(deny.KindInternal, "no key can be issued"))
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"key": key})
	}
}

// service runs a call of a plain service.
func (f *Front) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBody))
	if err != nil {
		refuse(w, deny.New(deny.KindTooLarge, "body is cut or over %d bytes", maxCallBody))
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	f.answer(w, r, call(r, chain.Invoke{
		Service:       r.PathValue("service"),
		Method:        r.Method,
		Path:          path,
		Key:           r.Header.Get(headerKey),
		ContentType:   r.Header.Get("Content-Type"),
		Body:          body,
		NonIdempotent: r.Header.Get(headerNoRepeat) == "true",
	}))
}

// writeJSON writes a value with a status.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
