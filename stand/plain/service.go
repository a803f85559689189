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

const maxBodyBytes = 1 << 20

// Receipt is the answer to a call.
type Receipt struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	Executions int    `json:"executions"`
	Bytes      int    `json:"bytes"` // Bytes is the length of the call's body.
}

// Service executes calls and counts them by key.
type Service struct {
	name  string
	delay time.Duration
	mux   *http.ServeMux

	mu              sync.Mutex
	executionsByKey map[string]int
}

// New returns a service whose calls take the delay.
func New(name string, delay time.Duration) *Service {
	s := &Service{name: name, delay: delay, mux: http.NewServeMux(), executionsByKey: make(map[string]int)}
	s.mux.HandleFunc("POST /", s.execute)
	s.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /status/{key}", s.status)
	s.mux.HandleFunc("GET /executions", s.listExecutions)
	s.mux.HandleFunc("GET /", s.read)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// execute counts a call under its key and answers it after the delay.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body was cut", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	s.mu.Lock()
	s.executionsByKey[key]++
	n := s.executionsByKey[key]
	s.mu.Unlock()
	time.Sleep(s.delay)
	writeJSON(w, Receipt{Service: s.name, Key: key, Executions: n, Bytes: len(body)})
}

// listExecutions writes the number of executions of every key.
func (s *Service) listExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.executionsByKey)
}

// read answers an idempotent call, which is not counted.
func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, Receipt{Service: s.name, Key: r.URL.Path})
}

// status writes the receipt of a key that was executed here.
func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	n := s.executionsByKey[key]
	s.mu.Unlock()
	if n == 0 {
		http.Error(w, "key was not executed here", http.StatusNotFound)
		return
	}
	writeJSON(w, Receipt{Service: s.name, Key: key, Executions: n})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
