package place

import (
	"maps"
	"sync"
	"time"

	"bramleywharf.example/core/wire"
)

// TTL is how long a session's target is remembered after its last stream ended. Engines keep a prompt in their cache for
// some seconds, and a caller whose stream was cut reconnects within that time.
const TTL = 8 * time.Second

// placement is the target that last read the prompt of a session.
type placement struct {
	target    string
	runs      int       // runs counts the session's streams that run on the target.
	expiresAt time.Time // expiresAt counts only while no stream runs.
}

// Places holds the targets of the sessions of this and of other instances.
type Places struct {
	mu     sync.Mutex
	own    map[string]placement // own maps the sessions of this instance to their targets.
	remote map[string]string    // remote maps sessions of other instances to targets.
}

// New returns places without sessions.
func New() *Places {
	return &Places{own: make(map[string]placement)}
}

// AddTo sets the targets of the sessions of this instance in a map.
func (p *Places) AddTo(placements map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for session, own := range p.own {
		placements[session] = own.target
	}
}

// Restore adds the targets that were stored before this start, unless the session already has one.
func (p *Places) Restore(placements map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expiresAt := time.Now().Add(TTL)
	for session, target := range placements {
		if _, known := p.own[session]; !known {
			p.own[session] = placement{target: target, expiresAt: expiresAt}
		}
	}
}

// SetRemote replaces the targets of the sessions of other instances; the caller must not modify the map afterwards.
func (p *Places) SetRemote(placements map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote = placements
}

// Add records that a stream of a session runs on a target, and reports whether the target had read the session's prompt
// before.
func (p *Places) Add(session, target string) bool {
	if session == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, known := p.own[session]
	hasRead := current.target == target || !known && p.remote[session] == target
	if current.target != target {
		current = placement{target: target}
	}
	current.runs++
	p.own[session] = current
	return hasRead
}

// Remove records that a stream of a session has ended on a target.
func (p *Places) Remove(session, target string) {
	if session == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.own[session]
	if !ok || current.target != target {
		return
	}
	current.runs--
	current.expiresAt = time.Now().Add(TTL)
	p.own[session] = current
}

// Return records again that a stream of a session runs on a target, unless the target that was recorded since runs one.
func (p *Places) Return(session, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.own[session]; ok && current.target != target && current.runs <= 0 {
		p.own[session] = placement{target: target, runs: 1}
	}
}

// Own returns the targets of the sessions of this instance and drops those that have expired.
func (p *Places) Own() []wire.SessionTarget {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.own, func(_ string, current placement) bool { return current.runs <= 0 && now.After(current.expiresAt) })
	sessions := make([]wire.SessionTarget, 0, len(p.own))
	for session, current := range p.own {
		sessions = append(sessions, wire.SessionTarget{Session: session, Target: current.target})
	}
	return sessions
}

// Last returns the name of the target that has read the prompt of a session, or an empty string.
func (p *Places) Last(session string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.own[session]; ok {
		return current.target
	}
	return p.remote[session]
}
