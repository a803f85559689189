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

const maxBodyBytes = 32 << 20

// Token is the data of one server-sent event.
type Token struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Order tells an engine which models to keep loaded.
type Order struct {
	Fence  uint64   `json:"fence"`  // Fence is the fencing number; one below the highest seen is refused.
	Models []string `json:"models"` // Models replaces the models of earlier orders.
}

// Server serves the engine's HTTP API.
type Server struct {
	batcher *batcher
	mux     *http.ServeMux

	mu       sync.Mutex
	silenced chan struct{} // silenced is closed to make the open streams stop sending, and replaced for new ones.
}

// New returns an engine.
func New(s Settings) *Server {
	e := &Server{batcher: newBatcher(s), mux: http.NewServeMux(), silenced: make(chan struct{})}
	e.mux.HandleFunc("POST /v1/generations", e.start)
	e.mux.HandleFunc("GET /v1/generations/{id}/events", e.attach)
	e.mux.HandleFunc("GET /v1/generations/{id}", e.progress)
	e.mux.HandleFunc("DELETE /v1/generations/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.applyOrder)
	e.mux.HandleFunc("POST /v1/leave", e.drain)
	e.mux.HandleFunc("POST /v1/silence", e.silence)
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return e
}

// Prefix returns the first words of a prompt, which are its key in the cache.
func Prefix(prompt string) string {
	fields := strings.Fields(prompt)
	return strings.Join(fields[:min(len(fields), prefixWords)], " ")
}

// ServeHTTP implements http.Handler.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// attach streams an existing generation from an offset on.
func (e *Server) attach(w http.ResponseWriter, r *http.Request) {
	g, ok := e.batcher.find(r.PathValue("id"))
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

// cacheEvents writes the cache events after a sequence number.
func (e *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil || after < 0 {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.batcher.mu.Lock()
	events := e.batcher.events[min(after, len(e.batcher.events)):]
	e.batcher.mu.Unlock()
	writeJSON(w, events)
}

// cancel stops a generation; an unknown id is no error.
func (e *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if g, ok := e.batcher.find(r.PathValue("id")); ok {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// drain makes the engine refuse new generations.
func (e *Server) drain(w http.ResponseWriter, _ *http.Request) {
	e.batcher.mu.Lock()
	e.batcher.draining = true
	e.batcher.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.batcher.report())
}

// applyOrder replaces the engine's models, unless the order's fencing number is old and the engine checks it.
func (e *Server) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.batcher.mu.Lock()
	defer e.batcher.mu.Unlock()
	if o.Fence < e.batcher.load.Fence && !e.batcher.settings.IgnoreFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.batcher.load.Fence = max(o.Fence, e.batcher.load.Fence)
	e.batcher.load.Models = o.Models
	w.WriteHeader(http.StatusNoContent)
}

// progress writes how far a generation has come, and why it ended if it has.
func (e *Server) progress(w http.ResponseWriter, r *http.Request) {
	g, ok := e.batcher.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	writeJSON(w, map[string]any{"offset": len(g.request.Forced) + len(g.tokens), "ended": g.endReason})
}

// start begins a generation and streams its tokens.
func (e *Server) start(w http.ResponseWriter, r *http.Request) {
	var request Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, err := e.batcher.start(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.stream(w, r, g, len(request.Forced))
}

// silence makes all open streams stop sending without closing them, as a lost connection does; new streams work.
func (e *Server) silence(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.silenced)
	e.silenced = make(chan struct{})
	w.WriteHeader(http.StatusNoContent)
}

// stream writes a generation's tokens as server-sent events until it ends or the reader disconnects.
func (e *Server) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	e.mu.Lock()
	silenced := e.silenced
	e.mu.Unlock()
	for {
		tokens, endReason, changed := g.tokensFrom(offset)
		for _, token := range tokens {
			data, _ := json.Marshal(Token{Offset: offset, Text: token})
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
			offset++
		}
		if endReason != "" {
			_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", endReason)
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-silenced:
			<-r.Context().Done()
			return
		case <-changed:
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
