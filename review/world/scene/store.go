package scene

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Heartbeat is the time between two heartbeats of a server.
const Heartbeat = 1200 * time.Millisecond

// lapseTime is how long an entry of a server stays without a heartbeat: three intervals.
const lapseTime = 3 * Heartbeat

// object is one stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one entry of the history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// store is the platform's store in memory.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	heard    map[string]time.Time // heard holds the last heartbeat of each server.
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), heard: map[string]time.Time{}}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire removes the entries of servers that have been silent for too long.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.heard {
		if time.Since(at) > lapseTime {
			delete(s.heard, name)
			s.remove("servers", name)
		}
	}
}

// put creates or replaces an object; a value that is the same changes nothing. The caller holds mu.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if kind == "servers" {
		s.heard[name] = time.Now()
	}
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	if !ok {
		o = object{Metadata: metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	s.revision++
	o.Metadata.Revision = s.revision
	o.Spec = spec
	s.objects[kind][name] = o
	s.note(change{kind: kind, object: o})
	return o
}

// remove deletes an object. The caller holds mu.
func (s *store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind: kind, object: o, deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// configure stores a configuration, as the operator does.
func (s *store) configure(spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", "main", raw)
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/bramleywharf/objects/"), "/")
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		Reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	Reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			Reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			Reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && o.Metadata.Revision > 0 && stored.Metadata.Revision != o.Metadata.Revision:
		Reply(w, http.StatusConflict, stored)
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.heard, name)
		s.remove(kind, name)
		Reply(w, http.StatusOK, stored)
	default:
		Reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

// Reply writes a JSON body.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The other end may have left.
}
