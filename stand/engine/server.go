package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 32 << 20

// Token is the data of one event of a stream.
type Token struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Order tells an engine what to hold.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"` // Models is everything that the engine is to hold.
}

// Server answers the engine's API over HTTP.
type Server struct {
	batch *batch
	mux   *http.ServeMux

	mu    sync.Mutex
	quiet chan struct{} // quiet closes when all open streams go silent.
}

// New returns an engine.
func New(s Settings) *Server {
	e := &Server{batch: newBatch(s), mux: http.NewServeMux(), quiet: make(chan struct{})}
	e.mux.HandleFunc("POST /v1/generations", e.start)
	e.mux.HandleFunc("GET /v1/generations/{id}/events", e.attach)
	e.mux.HandleFunc("GET /v1/generations/{id}", e.probe)
	e.mux.HandleFunc("DELETE /v1/generations/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("POST /v1/leave", e.leave)
	e.mux.HandleFunc("POST /v1/silence", e.silence)
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return e
}

// Prefix returns the part of a prompt that the cache goes by.
func Prefix(prompt string) string {
	fields := strings.Fields(prompt)
	return strings.Join(fields[:min(len(fields), prefixWords)], " ")
}

// ServeHTTP answers a call.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// attach streams a running generation from an offset on.
func (e *Server) attach(w http.ResponseWriter, r *http.Request) {
	g, ok := e.batch.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	if from < len(g.request.Forced) {
		http.Error(w, "offset lies in the forced prefix", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	e.stream(w, r, g, from)
}

// cacheEvents answers the cache events after a sequence number.
func (e *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil || after < 0 {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.batch.mu.Lock()
	events := e.batch.events[min(after, len(e.batch.events)):]
	e.batch.mu.Unlock()
	answer(w, events)
}

// cancel stops a generation.
func (e *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if g, ok := e.batch.find(r.PathValue("id")); ok {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// leave stops the engine from taking new work.
func (e *Server) leave(w http.ResponseWriter, _ *http.Request) {
	e.batch.mu.Lock()
	e.batch.leaving = true
	e.batch.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// load reports the work done and under way.
func (e *Server) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.batch.report())
}

// order obeys an order unless its fencing number is old and the engine checks it.
func (e *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	if o.Fence < e.batch.work.Fence && !e.batch.settings.IgnoreFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.batch.work.Fence = max(o.Fence, e.batch.work.Fence)
	e.batch.work.Models = o.Models
	w.WriteHeader(http.StatusNoContent)
}

// probe tells whether a generation is known and how far it has come.
func (e *Server) probe(w http.ResponseWriter, r *http.Request) {
	g, ok := e.batch.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	answer(w, map[string]any{"offset": len(g.request.Forced) + len(g.tokens), "ended": g.ended})
}

// start begins a generation and streams it.
func (e *Server) start(w http.ResponseWriter, r *http.Request) {
	var request Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, err := e.batch.start(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, g, len(request.Forced))
}

// silence makes all open streams silent for good, as a lost connection does; new ones work.
func (e *Server) silence(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.quiet)
	e.quiet = make(chan struct{})
	w.WriteHeader(http.StatusNoContent)
}

// stream writes a generation's tokens as server-sent events until it ends or the reader goes.
func (e *Server) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	e.mu.Lock()
	quiet := e.quiet
	e.mu.Unlock()
	for {
		tokens, ended, changed := g.after(offset)
		for _, text := range tokens {
			data, _ := json.Marshal(Token{Offset: offset, Text: text})
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
			offset++
		}
		if ended != "" {
			_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", ended)
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-quiet:
			<-r.Context().Done()
			return
		case <-changed:
		}
	}
}

// answer writes a value as JSON.
func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
