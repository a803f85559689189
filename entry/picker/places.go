package picker

import (
	"time"

	"bramleywharf.example/core/wire"
)

// placeLife is how long after a run's end its target is remembered: prompts stay in the cache of an engine for some seconds, and a caller that was cut comes back within them.
const placeLife = 8 * time.Second

// place is where the prompt of a session was read last.
type place struct {
	target string
	runs   int       // runs counts the session's streams that run there.
	until  time.Time // until is when the place is forgotten once nothing runs there.
}

// Places returns where the sessions of all instances run, as far as it is known here.
func (p *Picker) Places() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	places := make(map[string]string)
	for _, s := range p.heard {
		for _, r := range s.load.Runs {
			places[r.Session] = r.Target
		}
	}
	for session, at := range p.places {
		places[session] = at.target
	}
	return places
}

// Restore takes the places that were known before this start.
func (p *Picker) Restore(places map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(placeLife)
	for session, target := range places {
		if _, known := p.places[session]; !known {
			p.places[session] = place{target: target, until: until}
		}
	}
}

// enter notes that a stream of a session runs at a target.
func (p *Picker) enter(session, target string) {
	if session == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.places[session]
	if at.target != target {
		at = place{target: target}
	}
	at.runs++
	p.places[session] = at
}

// exit notes that a stream of a session has ended at a target.
func (p *Picker) exit(session, target string) {
	if session == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.places[session]
	if !ok || at.target != target {
		return
	}
	at.runs--
	at.until = time.Now().Add(placeLife)
	p.places[session] = at
}

// ownRuns returns the places of this instance, and forgets those that are too old; the caller holds the lock.
func (p *Picker) ownRuns(now time.Time) []wire.RunPlace {
	runs := make([]wire.RunPlace, 0, len(p.places))
	for session, at := range p.places {
		if at.runs <= 0 && now.After(at.until) {
			delete(p.places, session)
			continue
		}
		runs = append(runs, wire.RunPlace{Session: session, Target: at.target})
	}
	return runs
}

// placeOf returns the target that has read the prompt of a session, or an empty name.
func (p *Picker) placeOf(session string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.places[session]; ok {
		return at.target
	}
	return p.elsewhere[session]
}
