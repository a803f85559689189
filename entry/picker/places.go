package picker

import (
	"time"

	"bramleywharf.example/core/wire"
)

// placementTTL is how long a session's target is remembered after its last stream ended. Engines keep a prompt in their
// cache for some seconds, and a caller whose stream was cut reconnects within that time.
const placementTTL = 8 * time.Second

// placement is the target that last read the prompt of a session.
type placement struct {
	target    string
	runs      int       // runs counts the session's streams that run on the target.
	expiresAt time.Time // expiresAt counts only while no stream runs.
}

// Places returns the targets of the sessions of all instances by session; this instance's own placements override
// reported ones.
func (p *Picker) Places() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	placements := make(map[string]string)
	for _, report := range p.received {
		for _, sessionTarget := range report.load.Sessions {
			placements[sessionTarget.Session] = sessionTarget.Target
		}
	}
	for session, own := range p.placements {
		placements[session] = own.target
	}
	return placements
}

// Restore adds the placements that were stored before this start, unless the session already has one.
func (p *Picker) Restore(placements map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expiresAt := time.Now().Add(placementTTL)
	for session, target := range placements {
		if _, known := p.placements[session]; !known {
			p.placements[session] = placement{target: target, expiresAt: expiresAt}
		}
	}
}

// addStream records that a stream of a session runs on a target.
func (p *Picker) addStream(session, target string) {
	if session == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.placements[session]
	if current.target != target {
		current = placement{target: target}
	}
	current.runs++
	p.placements[session] = current
}

// removeStream records that a stream of a session has ended on a target.
func (p *Picker) removeStream(session, target string) {
	if session == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.placements[session]
	if !ok || current.target != target {
		return
	}
	current.runs--
	current.expiresAt = time.Now().Add(placementTTL)
	p.placements[session] = current
}

// restoreStream records again that a stream of a session runs on a target, unless the target that was recorded since
// runs one.
func (p *Picker) restoreStream(session, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.placements[session]; ok && current.target != target && current.runs <= 0 {
		p.placements[session] = placement{target: target, runs: 1}
	}
}

// ownPlacements returns the placements of this instance and drops those that have expired; the caller holds mu.
func (p *Picker) ownPlacements(now time.Time) []wire.SessionTarget {
	sessions := make([]wire.SessionTarget, 0, len(p.placements))
	for session, current := range p.placements {
		if current.runs <= 0 && now.After(current.expiresAt) {
			delete(p.placements, session)
			continue
		}
		sessions = append(sessions, wire.SessionTarget{Session: session, Target: current.target})
	}
	return sessions
}

// lastTarget returns the name of the target that has read the prompt of a session, or an empty string.
func (p *Picker) lastTarget(session string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.placements[session]; ok {
		return current.target
	}
	return p.remotePlacements[session]
}
