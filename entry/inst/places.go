package inst

import (
	"context"
	"maps"
	"time"

	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/fleet"
)

// savePeriod is the time between two writes of the places of sessions; a prompt takes a second to read, and each write is paid for.
const savePeriod = 800 * time.Millisecond

// saver stores where sessions run while its instance is elected to, so that callers find their engine again when all instances were lost at once.
type saver struct {
	*wait.Loop
	instance *Instance
	members  *fleet.Fleet
}

// newSaver returns a saver of an instance among members.
func newSaver(i *Instance, members *fleet.Fleet) *saver {
	s := &saver{instance: i, members: members}
	s.Loop = wait.Start(s.loop)
	return s
}

// loop saves what has changed since the last time.
func (s *saver) loop(ctx context.Context) {
	i := s.instance
	var saved map[string]string
	failing := false
	for wait.For(ctx, savePeriod) {
		if !s.members.Elected("places", 1) {
			continue
		}
		places := i.picker.Places()
		if maps.Equal(places, saved) {
			continue
		}
		err := bounded(ctx, func(ctx context.Context) error { return i.borders.Join.SavePlaces(ctx, places) })
		if err == nil {
			saved = places
		}
		if (err != nil) != failing {
			failing = err != nil
			i.log.WithField("failing", failing).WithField("sessions", len(places)).Info("places of sessions are saved")
		}
	}
}
