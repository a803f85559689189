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

// savePlaces stores where sessions run while this instance is elected to, so that callers find their engine again when all instances were lost at once.
func (i *Instance) savePlaces(ctx context.Context, members *fleet.Fleet) {
	var saved map[string]string
	failing := false
	for wait.For(ctx, savePeriod) {
		if !members.Elected("places", 1) {
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
