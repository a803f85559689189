package picker

import (
	"time"

	"bramleywharf.example/core/admit"
)

// Room is what this instance knows of the load of a service's targets.
type Room struct {
	Targets []admit.Target
	Own     int // Own counts this instance's streams at them.
	Reports int // Reports counts the other instances whose load is known.
}

// Room returns the load of the targets of a service. Those that are suspect or refuse requests are down.
func (p *Picker) Room(service string) Room {
	p.refreshSums()
	now := time.Now()
	var room Room
	for _, target := range p.targetTable.Load().available[service] {
		streams := int(target.state.streams.Load())
		room.Own += streams
		room.Targets = append(room.Targets, admit.Target{
			Slots:   target.Slots,
			Streams: streams + target.state.remoteLoad.Load().Streams,
			Down:    target.state.healthStatus.Load().IsSuspect(now) || target.state.isPaused(now),
		})
	}
	room.Reports = len(p.reports.Current())
	return room
}
