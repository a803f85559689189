package flight

import (
	"context"
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/picker"
)

const (
	// askedTargets is the number of targets that are asked for their load before a stream is placed; asking more of them
	// would send many instances to the same idle ones.
	askedTargets = 2
	// maxLoadAge is the age of other instances' load reports from which targets are asked.
	maxLoadAge = time.Second
)

// pickTarget chooses a target for the stream. If load reports are old, it asks the best targets how many prompts they
// have to read first.
func (s *stream) pickTarget(ctx context.Context) (*picker.Pick, bool) {
	want := s.want()
	want.Room = s.waits()
	if s.sender.Picker.LoadAge() < maxLoadAge {
		return s.sender.Picker.Stream(want)
	}
	candidates := s.sender.Picker.Best(want, askedTargets)
	switch len(candidates) {
	case 0:
		return nil, false
	case 1:
		return s.sender.Picker.StreamAt(candidates[0], want)
	default:
		return s.sender.Picker.StreamAt(candidates[route.LeastBacklog(s.sender.Backlogs(ctx, candidates))], want)
	}
}
