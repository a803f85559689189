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

// maxWait bounds the time that a watch may wait.
const maxWait = time.Minute

// Settings configures the stand-in.
type Settings struct {
	Token   string
	ListLag time.Duration
	Reads   float64 // Reads is the calls a second, watches included.
	Writes  float64
	Weights float64
}

// Server is the platform stand-in.
type Server struct {
	settings Settings
	objects  *store.Memory
	mux      *http.ServeMux
	reads    *rate.Limiter
	writes   *rate.Limiter
	weights  *rate.Limiter

	mu        sync.Mutex
	instances map[string]store.Instance
}

// New returns a platform without objects.
func New(s Settings) *Server {
	p := &Server{
		settings:  s,
		objects:   store.NewMemory(),
		mux:       http.NewServeMux(),
		reads:     limiter(s.Reads),
		writes:    limiter(s.Writes),
		weights:   limiter(s.Weights),
		instances: make(map[string]store.Instance),
	}
	p.mux.HandleFunc("GET /v1/objects", p.read(p.list))
	p.mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.read(p.get))
	p.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("GET /v1/changes", p.read(p.changes))
	p.mux.HandleFunc("GET /v1/instances", p.read(p.listInstances))
	p.mux.HandleFunc("PUT /v1/instances/{name}", p.putInstance)
	p.mux.HandleFunc("GET /v1/weights/{model}", p.weight)
	p.mux.HandleFunc("PUT /v1/fault/{fault}", p.setFault)
	p.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return p
}

// limiter allows a rate a second with a burst of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP answers a call that shows the token.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.settings.Token != "" && r.Header.Get("Authorization") != "Bearer "+p.settings.Token {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// changes waits for changes.
func (p *Server) changes(ctx context.Context, r *http.Request) (any, error) {
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

// get answers one object.
func (p *Server) get(ctx context.Context, r *http.Request) (any, error) {
	return p.objects.Get(ctx, r.PathValue("kind"), r.PathValue("name"))
}

// list answers all objects of some kinds.
func (p *Server) list(ctx context.Context, r *http.Request) (any, error) {
	return p.objects.List(ctx, strings.Split(r.FormValue("kinds"), ","))
}

// listInstances answers the lagging list.
func (p *Server) listInstances(ctx context.Context, _ *http.Request) (any, error) {
	return p.objects.Instances(ctx)
}

// put writes an object under its condition.
func (p *Server) put(w http.ResponseWriter, r *http.Request) {
	if !p.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValue+1))
	if err != nil || len(body) > store.MaxValue {
		http.Error(w, "value is cut or over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	var o store.Object
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Kind, o.Name = r.PathValue("kind"), r.PathValue("name")
	if o.Revision, err = condition(r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Revision, err = p.objects.Put(r.Context(), o)
	p.finish(w, o, err)
}

// condition returns the revision that a write expects.
func condition(r *http.Request) (uint64, error) {
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

// putInstance tells the platform of an instance; the list shows it after the lag.
func (p *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var i store.Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Name = r.PathValue("name")
	time.AfterFunc(p.settings.ListLag, func() { p.show(i) })
	w.WriteHeader(http.StatusNoContent)
}

// show brings an instance into the list.
func (p *Server) show(i store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.Name] = i
	list := make([]store.Instance, 0, len(p.instances))
	for _, known := range p.instances {
		list = append(list, known)
	}
	p.objects.SetInstances(list)
}

// read answers a reading call within the rate of reads.
func (p *Server) read(answer func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.reads.Allow() {
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		value, err := answer(r.Context(), r)
		p.finish(w, value, err)
	}
}

// finish writes a value or the status of an error; a lost answer closes the connection.
func (p *Server) finish(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrDown):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// setFault changes how the object API fails.
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

// faultByName returns the fault of a name used over HTTP.
func faultByName(name string) (store.Fault, bool) {
	switch name {
	case "none":
		return store.Healthy{}, true
	case "down":
		return store.Down{}, true
	case "lose-answers":
		return store.LoseAnswers{}, true
	case "lose-writes":
		return store.LoseWrites{}, true
	case "slow":
		return store.Slow{By: time.Second}, true
	default:
		return nil, false
	}
}

// weight answers a load of weights within the store's rate.
func (p *Server) weight(w http.ResponseWriter, r *http.Request) {
	if !p.weights.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "weight store is busy", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"model": r.PathValue("model")})
}
