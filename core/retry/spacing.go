package retry

import "time"

const (
	minSpacing = 200 * time.Millisecond // minSpacing is the time to leave after a first refusal.
	maxSpacing = 800 * time.Millisecond // maxSpacing leaves time for some attempts before callers give up.
)

// Spacing is the time to leave between the sends of a request that full targets refuse. The zero value is that of a
// request that was not refused.
type Spacing struct {
	delay time.Duration
}

// Delay returns the time to leave before the next send.
func (s Spacing) Delay() time.Duration {
	return s.delay
}

// WithRefusal returns the spacing after one more refusal.
func (s Spacing) WithRefusal() Spacing {
	s.delay = min(max(2*s.delay, minSpacing), maxSpacing)
	return s
}
