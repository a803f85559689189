package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// maxWait bounds how long a watch waits for a change.
const maxWait = time.Minute

// Settings configures the stand-in; rates are in calls per second, and 0 is unlimited.
type Settings struct {
	Token   string        // Token is the bearer token that callers must send; empty accepts every caller.
	ListLag time.Duration // ListLag is the time until the list shows a registered instance.
	Reads   float64       // Reads is the rate of reads, watches included.
	Writes  float64
	Weights float64 // Weights is the rate at which weights are loaded.
}

// Server serves the platform's HTTP API.
type Server struct {
	settings      Settings
	objects       *store.Memory
	mux           *http.ServeMux
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	weightLimiter *rate.Limiter

	mu        sync.Mutex
	instances map[string]store.Instance // instances holds the listed instances by name.
}

// New returns a platform without objects.
func New(s Settings) *Server {
	p := &Server{
		settings:      s,
		objects:       store.NewMemory(),
		mux:           http.NewServeMux(),
		readLimiter:   newLimiter(s.Reads),
		writeLimiter:  newLimiter(s.Writes),
		weightLimiter: newLimiter(s.Weights),
		instances:     make(map[string]store.Instance),
	}
	p.mux.HandleFunc("GET /v1/objects", p.readHandler(p.list))
	p.mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.readHandler(p.get))
	p.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("GET /v1/changes", p.readHandler(p.waitForChanges))
	p.mux.HandleFunc("GET /v1/instances", p.readHandler(p.listInstances))
	p.mux.HandleFunc("PUT /v1/instances/{name}", p.putInstance)
	p.mux.HandleFunc("GET /v1/weights/{model}", p.loadWeights)
	p.mux.HandleFunc("PUT /v1/fault/{fault}", p.setFault)
	p.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return p
}

// newLimiter allows a rate with a burst of one second's calls; a rate of 0 or less is unlimited.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP implements http.Handler; it rejects calls without the token.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.settings.Token != "" && r.Header.Get("Authorization") != "Bearer "+p.settings.Token {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// waitForChanges returns the objects changed after a revision, and waits if there are none yet.
func (p *Server) waitForChanges(ctx context.Context, r *http.Request) (any, error) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		return nil, errors.New("after must be a revision")
	}
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		return nil, errors.New("wait must be a duration")
	}
	return p.objects.Changes(ctx, strings.Split(r.FormValue("kinds"), ","), after, min(wait, maxWait))
}

func (p *Server) get(ctx context.Context, r *http.Request) (any, error) {
	return p.objects.Get(ctx, r.PathValue("kind"), r.PathValue("name"))
}

// list returns all objects of the kinds in the query.
func (p *Server) list(ctx context.Context, r *http.Request) (any, error) {
	return p.objects.List(ctx, strings.Split(r.FormValue("kinds"), ","))
}

// listInstances returns the instances whose lag has passed.
func (p *Server) listInstances(ctx context.Context, _ *http.Request) (any, error) {
	return p.objects.Instances(ctx)
}

// put writes an object if its stored revision is the expected one.
func (p *Server) put(w http.ResponseWriter, r *http.Request) {
	if !p.writeLimiter.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxObjectBytes+1))
	if err != nil || len(body) > store.MaxObjectBytes {
		http.Error(w, "value is cut or over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	var o store.Object
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Kind, o.Name = r.PathValue("kind"), r.PathValue("name")
	if o.Revision, err = expectedRevision(r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Revision, err = p.objects.Put(r.Context(), o)
	p.respond(w, o, err)
}

// expectedRevision returns the revision that a write expects, or 0 if the object must not exist.
func expectedRevision(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	quoted, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return 0, errors.New("a write needs If-Match or If-None-Match: *")
	}
	revision, err := strconv.ParseUint(quoted, 10, 64)
	if err != nil {
		return 0, errors.New("If-Match must be a quoted revision")
	}
	return revision, nil
}

// putInstance registers an instance; the list shows it after the lag.
func (p *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance store.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.Name = r.PathValue("name")
	time.AfterFunc(p.settings.ListLag, func() { p.addToList(instance) })
	w.WriteHeader(http.StatusNoContent)
}

// addToList adds an instance to the list or replaces the one of its name.
func (p *Server) addToList(instance store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.Name] = instance
	list := make([]store.Instance, 0, len(p.instances))
	for _, listed := range p.instances {
		list = append(list, listed)
	}
	p.objects.SetInstances(list)
}

// readHandler returns a handler that makes a read call, unless the rate of reads is exceeded.
func (p *Server) readHandler(call func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.readLimiter.Allow() {
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		value, err := call(r.Context(), r)
		p.respond(w, value, err)
	}
}

// respond writes a value or the status of an error; for ErrOutcomeUnknown it closes the connection without an answer.
func (p *Server) respond(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrUnreachable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// setFault makes the object API fail as the path says.
func (p *Server) setFault(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("fault")
	fault, ok := faultByName(name)
	if !ok {
		http.Error(w, "unknown fault "+name, http.StatusNotFound)
		return
	}
	p.objects.SetFault(fault)
	w.WriteHeader(http.StatusNoContent)
}

func faultByName(name string) (store.Fault, bool) {
	switch name {
	case "none":
		return store.Healthy{}, true
	case "down":
		return store.Down{}, true
	case "lose-answers":
		return store.LoseResponses{}, true
	case "lose-writes":
		return store.LoseWrites{}, true
	case "slow":
		return store.Slow{Delay: time.Second}, true
	default:
		return nil, false
	}
}

// loadWeights answers a load of a model's weights, unless the rate of loads is exceeded; it sends no weights.
func (p *Server) loadWeights(w http.ResponseWriter, r *http.Request) {
	if !p.weightLimiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "weight store is busy", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"model": r.PathValue("model")})
}
