package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/entry/internal/engine"
)

// fakeService is a plain service that counts the executed calls by idempotency key.
type fakeService struct {
	w    *world
	name string

	mu              sync.Mutex
	executionCounts map[string]int
	firstExecuted   map[string]time.Time // When each key was first executed.
	isSilent        bool                 // Execute calls without an answer.
}

func newFakeService(w *world, name string) *fakeService {
	return &fakeService{w: w, name: name, executionCounts: make(map[string]int), firstExecuted: make(map[string]time.Time)}
}

// executions returns how often the call with a key was executed by all services.
func (w *world) executions(key string) int {
	sum := 0
	for _, s := range w.services {
		s.mu.Lock()
		sum += s.executionCounts[key]
		s.mu.Unlock()
	}
	return sum
}

// executedBefore tells whether the call with a key was executed before a time.
func (w *world) executedBefore(key string, at time.Time) bool {
	for _, s := range w.services {
		s.mu.Lock()
		firstExecuted, ok := s.firstExecuted[key]
		s.mu.Unlock()
		if ok && firstExecuted.Before(at) {
			return true
		}
	}
	return false
}

// fakeServices is the engine.Caller of one node.
type fakeServices struct {
	w        *world
	nodeName string
}

func (f *fakeServices) Call(ctx context.Context, address string, c engine.Call) (engine.Result, error) {
	name := strings.TrimSuffix(address, ":1")
	dialCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	if err := f.w.transmit(dialCtx, f.nodeName, name); err != nil {
		return engine.Result{}, fmt.Errorf("%w: %w", engine.ErrNotSent, err)
	}
	f.w.runHooks("connected")
	if err := f.w.transmit(ctx, f.nodeName, name); err != nil {
		return engine.Result{}, fmt.Errorf("%w: %w", engine.ErrUnknown, err)
	}
	s := f.w.services[name]
	status := s.handle(c)
	s.mu.Lock()
	silent := s.isSilent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return engine.Result{}, fmt.Errorf("%w: %w", engine.ErrUnknown, ctx.Err())
	}
	if err := f.w.transmit(ctx, name, f.nodeName); err != nil {
		return engine.Result{}, fmt.Errorf("%w: %w", engine.ErrUnknown, err)
	}
	f.w.runHooks("answered")
	return engine.Result{Status: status, Body: []byte(c.Key)}, nil
}

// handle executes a call, or answers a status call by whether its key was executed.
func (s *fakeService) handle(c engine.Call) int {
	if key, ok := strings.CutPrefix(c.Path, "/status/"); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.executionCounts[key] == 0 {
			return 404
		}
		return 200
	}
	s.mu.Lock()
	s.executionCounts[c.Key]++
	if s.executionCounts[c.Key] == 1 {
		s.firstExecuted[c.Key] = time.Now()
	}
	s.mu.Unlock()
	s.w.runHooks("executed")
	return 200
}
