package scene

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/review/world-2/origin"
)

// object is one stored object, as PROTOCOL.md describes it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// Store is the platform's metadata store: linearizable, without faults.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	Silent   atomic.Bool // Silent tells that the store is down and answers nothing.
}

func newStore() *Store {
	return &Store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put stores a value as the operator or a server does; the return is the acknowledgement.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, raw)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *Store) drop(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.note(change{kind, o, true})
	return true
}

func (s *Store) set(kind, name string, raw json.RawMessage) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(raw) {
		return s.revision
	}
	s.revision++
	if !ok {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
	}
	o.Spec, o.Metadata.Revision = raw, s.revision
	s.objects[kind][name] = o
	s.note(change{kind, o, false})
	return s.revision
}

func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) events(kind string, after uint64) []map[string]any {
	events := []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/bramleywharf/objects/"), "/")
	for s.Silent.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !s.Silent.Load() {
			panic(http.ErrAbortHandler) // The call has not been executed.
		}
	}
	query := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, n := range sortedNames(s.objects[kind]) {
			if n > query.Get("after") {
				items = append(items, s.objects[kind][n])
			}
		}
		origin.Reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
	case r.Method == http.MethodGet:
		if o, ok := s.objects[kind][name]; ok {
			origin.Reply(w, http.StatusOK, o)
			return
		}
		origin.Reply(w, http.StatusNotFound, map[string]any{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			origin.Reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	revision := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	stored, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && revision > 0 && revision != stored.Metadata.Revision:
		origin.Reply(w, http.StatusConflict, stored)
		return
	case r.Method != http.MethodPost && !ok:
		origin.Reply(w, http.StatusNotFound, map[string]any{})
		return
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
	case isStatus:
		s.revision++
		stored.Status, stored.Metadata.Revision = o.Status, s.revision
		s.objects[kind][name] = stored
		s.note(change{kind, stored, false})
	default:
		s.set(kind, name, o.Spec)
	}
	origin.Reply(w, http.StatusOK, s.objects[kind][name])
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := s.events(kind, after), s.revision, s.changed
		s.mu.Unlock()
		if s.Silent.Load() {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			origin.Reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			origin.Reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func sortedNames(m map[string]object) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
