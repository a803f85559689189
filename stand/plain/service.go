package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// KeyHeader carries the key of a non-idempotent call.
const KeyHeader = "X-Order-Key"

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Receipt answers an executed call.
type Receipt struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	Executions int    `json:"executions"`
	Bytes      int    `json:"bytes"`
}

// Service executes calls and counts them.
type Service struct {
	name  string
	delay time.Duration
	mux   *http.ServeMux

	mu    sync.Mutex
	count map[string]int
}

// New returns a service whose calls take a time.
func New(name string, delay time.Duration) *Service {
	s := &Service{name: name, delay: delay, mux: http.NewServeMux(), count: make(map[string]int)}
	s.mux.HandleFunc("POST /", s.execute)
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /status/{key}", s.status)
	s.mux.HandleFunc("GET /executions", s.executions)
	s.mux.HandleFunc("GET /", s.read)
	return s
}

// ServeHTTP answers a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// execute runs a call and counts its key.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	s.mu.Lock()
	s.count[key]++
	n := s.count[key]
	s.mu.Unlock()
	time.Sleep(s.delay)
	answer(w, Receipt{Service: s.name, Key: key, Executions: n, Bytes: len(body)})
}

// executions answers the count of every key.
func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, s.count)
}

// read answers an idempotent call.
func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	answer(w, Receipt{Service: s.name, Key: r.URL.Path})
}

// status tells whether a key was executed here.
func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	n := s.count[key]
	s.mu.Unlock()
	if n == 0 {
		http.Error(w, "key was not executed here", http.StatusNotFound)
		return
	}
	answer(w, Receipt{Service: s.name, Key: key, Executions: n})
}

// answer writes a value as JSON.
func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
