package picker

import (
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/health"
	"bramleywharf.example/core/site"
	"github.com/apex/log"
)

// Pause records that a target refuses requests for a time, in which it is not chosen.
func (p *Picker) Pause(target site.Target, length time.Duration) {
	current, ok := p.currentEntry(target)
	if !ok {
		return
	}
	now := time.Now()
	if !current.state.isPaused(now) {
		p.log.WithFields(log.Fields{"target": target.Name, "service": target.Service, "refused-ms": length.Milliseconds()}).Info("target refuses requests for a time")
	}
	cell.TryUpdate(&current.state.pause, func(k health.Pause) (health.Pause, bool) { return k.WithRefusal(now, length), true })
}

// isPaused reports whether the target refuses requests.
func (s *targetState) isPaused(now time.Time) bool {
	return s.pause.Load().Holds(now)
}

// mayAskInPause reports whether a stream for which no other target is left may be sent to this one.
func (s *targetState) mayAskInPause(now time.Time) bool {
	return cell.TryUpdate(&s.pause, func(k health.Pause) (health.Pause, bool) { return k.WithAsk(now) })
}
