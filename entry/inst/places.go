package inst

import (
	"context"
	"maps"
	"time"

	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/fleet"
)

// saveInterval is the time between two writes of the targets of sessions. A target takes about a second to read a
// prompt, and each write is billed.
const saveInterval = 800 * time.Millisecond

// sessionSaver stores which target runs each session while this instance is elected to. After a loss of all instances
// at once, sessions then continue on the engines that have read their prompts.
type sessionSaver struct {
	*wait.Loop
	instance *Instance
	members  *fleet.Fleet
}

// newSessionSaver starts to save the sessions that an instance knows, whenever members elect it.
func newSessionSaver(i *Instance, members *fleet.Fleet) *sessionSaver {
	s := &sessionSaver{instance: i, members: members}
	s.Loop = wait.Start(s.loop)
	return s
}

// loop saves the targets of sessions when they have changed since the last write, and again in each era of the store.
func (s *sessionSaver) loop(ctx context.Context) {
	i := s.instance
	var saved map[string]string
	var savedEra uint64
	failing := false
	for wait.Sleep(ctx, saveInterval) {
		if !s.members.Elected("places", 1) {
			continue
		}
		if era := i.exchange.Era(); era != savedEra {
			saved, savedEra = nil, era // The store came back from a copy, which may lack them.
		}
		sessionTargets := i.picker.Places()
		if maps.Equal(sessionTargets, saved) {
			continue
		}
		err := withTimeout(ctx, func(ctx context.Context) error { return i.deps.Join.SavePlaces(ctx, sessionTargets) })
		if err == nil {
			saved = sessionTargets
		}
		if (err != nil) != failing {
			failing = err != nil
			i.log.WithField("failing", failing).WithField("sessions", len(sessionTargets)).
				Info("saving session targets failed or recovered")
		}
	}
}
