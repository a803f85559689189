package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault is the sealed set of faults that a Memory store can simulate.
type Fault interface {
	isFault()
}

// Healthy simulates no fault.
type Healthy struct{}

// Down fails every call with ErrUnreachable.
type Down struct{}

// LoseResponses applies writes but reports them as ErrOutcomeUnknown, as if their responses were lost.
type LoseResponses struct{}

// LoseWrites reports writes as ErrOutcomeUnknown without applying them, as if the requests were lost.
type LoseWrites struct{}

// Slow delays every call.
type Slow struct {
	Delay time.Duration
}

func (Healthy) isFault()       {}
func (Down) isFault()          {}
func (LoseResponses) isFault() {}
func (LoseWrites) isFault()    {}
func (Slow) isFault()          {}

// Memory is an in-memory Store with injectable faults; it is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	fault     Fault
	revision  uint64
	objects   map[string]Object // objects maps kind/name to the object.
	instances []Instance
	changed   chan struct{} // changed is closed and replaced when an object or the fault changes.
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		fault:   Healthy{},
		objects: make(map[string]Object),
		changed: make(chan struct{}),
	}
}

// Changes waits for objects of the kinds that changed after a revision; when none do in time, the page is empty.
func (m *Memory) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := m.injectFault(ctx); err != nil {
			return Page{}, err
		}
		page, changed := m.page(kinds, after)
		if len(page.Objects) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ErrUnreachable
		case <-deadline.C:
			return page, nil
		case <-changed:
		}
	}
}

// Get returns one object.
func (m *Memory) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := m.injectFault(ctx); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[kind+"/"+name]
	if !ok || o.Deleted {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// Instances returns the list that SetInstances stored.
func (m *Memory) Instances(ctx context.Context) ([]Instance, error) {
	if err := m.injectFault(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.instances), nil
}

// List returns all objects of the kinds.
func (m *Memory) List(ctx context.Context, kinds []string) (Page, error) {
	if err := m.injectFault(ctx); err != nil {
		return Page{}, err
	}
	page, _ := m.page(kinds, 0)
	return page, nil
}

// Put writes an object if its stored revision is still o.Revision.
func (m *Memory) Put(ctx context.Context, o Object) (uint64, error) {
	if err := m.injectFault(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, lost := m.fault.(LoseWrites); lost {
		return 0, ErrOutcomeUnknown
	}
	key := o.Kind + "/" + o.Name
	if m.objects[key].Revision != o.Revision {
		return 0, ErrConflict
	}
	m.revision++
	o.Revision = m.revision
	m.objects[key] = o
	close(m.changed)
	m.changed = make(chan struct{})
	if _, lost := m.fault.(LoseResponses); lost {
		return 0, ErrOutcomeUnknown
	}
	return o.Revision, nil
}

// SetFault replaces the simulated fault and wakes waiting Changes calls.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetInstances replaces the list of instances.
func (m *Memory) SetInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

// injectFault fails or delays a call as the current fault demands.
func (m *Memory) injectFault(ctx context.Context) error {
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	switch f := fault.(type) {
	case Down:
		return ErrUnreachable
	case Slow:
		select {
		case <-ctx.Done():
			return ErrUnreachable
		case <-time.After(f.Delay):
		}
	}
	return nil
}

// page returns the objects of the kinds that changed after a revision, and a channel that closes at the next
// change.
func (m *Memory) page(kinds []string, after uint64) (Page, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := Page{Revision: m.revision}
	for _, o := range m.objects {
		if o.Revision > after && slices.Contains(kinds, o.Kind) {
			page.Objects = append(page.Objects, o)
		}
	}
	slices.SortFunc(page.Objects, func(a, b Object) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return page, m.changed
}
