package store

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}
type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
}

// Store is the store of the platform.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	objs    map[string]map[string]object
	hist    []change
	changed chan struct{}
	Addr    string // Addr is the address at which the store listens.
}

// New starts a store at an address.
func New(addr string) (*Store, error) {
	s := &Store{rev: 100, objs: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.Addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}
func (s *Store) bump(kind string, o object, del bool) object {
	s.rev++
	if !del {
		o.Metadata.Revision = s.rev
		if o.Metadata.Created == 0 {
			o.Metadata.Created = s.rev
		}
		if s.objs[kind] == nil {
			s.objs[kind] = map[string]object{}
		}
		s.objs[kind][o.Metadata.Name] = o
	} else {
		delete(s.objs[kind], o.Metadata.Name)
	}
	s.hist = append(s.hist, change{Object: o, Deleted: del, kind: kind, rev: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Put creates or replaces an object, as the operator does.
func (s *Store) Put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objs[kind][name]
	o.Metadata.Name = name
	if string(o.Spec) == string(raw) {
		return
	}
	o.Spec = raw
	s.bump(kind, o, false)
}
func (s *Store) del(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objs[kind][name]; ok {
		s.bump(kind, o, true)
	}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := strings.Split(strings.TrimPrefix(r.URL.Path, "/bramleywharf/objects/"), "/")
	kind := p[0]
	send := func(code int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(v)
	}
	q := r.URL.Query()
	if r.Method == "GET" && len(p) == 1 {
		if q.Has("watch") {
			from, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
			ms, _ := strconv.Atoi(q.Get("wait_ms"))
			end := time.After(time.Duration(ms) * time.Millisecond)
			for {
				s.mu.Lock()
				ev := []change{}
				for _, e := range s.hist {
					if e.kind == kind && e.rev > from {
						ev = append(ev, e)
					}
				}
				at, ch := s.rev, s.changed
				s.mu.Unlock()
				if len(ev) > 0 {
					send(200, map[string]any{"events": ev, "at": at})
					return
				}
				select {
				case <-ch:
				case <-end:
					send(200, map[string]any{"events": ev, "at": at})
					return
				case <-r.Context().Done():
					return
				}
			}
		}
		s.mu.Lock()
		items := []object{}
		for _, o := range s.objs[kind] {
			if o.Metadata.Name > q.Get("after") {
				items = append(items, o)
			}
		}
		at := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		send(200, map[string]any{"items": items, "has_more": false, "at": at})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in object
	if r.Method == "POST" || r.Method == "PUT" {
		json.NewDecoder(r.Body).Decode(&in)
	}
	rev := in.Metadata.Revision
	if v := q.Get("revision"); v != "" {
		rev, _ = strconv.ParseUint(v, 10, 64)
	}
	if r.Method == "POST" {
		if o, ok := s.objs[kind][in.Metadata.Name]; ok {
			send(409, o)
			return
		}
		in.Metadata.Revision, in.Metadata.Created = 0, 0
		send(200, s.bump(kind, in, false))
		return
	}
	o, ok := s.objs[kind][p[1]]
	switch {
	case !ok:
		send(404, map[string]any{})
	case r.Method == "GET":
		send(200, o)
	case rev != 0 && rev != o.Metadata.Revision:
		send(409, o)
	case r.Method == "DELETE":
		s.bump(kind, o, true)
		send(200, o)
	case len(p) == 3:
		o.Status = in.Status
		send(200, s.bump(kind, o, false))
	default:
		if string(o.Spec) != string(in.Spec) {
			o.Spec = in.Spec
			o = s.bump(kind, o, false)
		}
		send(200, o)
	}
}

// Expire removes the entry of a server that has been silent.
func (s *Store) Expire(name string) { s.del("servers", name) }
