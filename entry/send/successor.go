package send

import (
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/uptime"
	"github.com/apex/log"
)

// Stamp is the time at which a request was sent, on a clock that also counts the time for which the machine is suspended.
// The zero value is unknown.
type Stamp struct {
	uptime time.Duration
	known  bool
}

// Stamp returns the stamp of a request that is sent now. It is unknown if the platform may give an address to another
// service at once, since it is not needed then.
func (s *Sender) Stamp() Stamp {
	if s.settings.AddressReuse() <= 0 {
		return Stamp{}
	}
	now, err := uptime.Now()
	return Stamp{uptime: now, known: err == nil}
}

// Answered records that the picked target itself has answered a request, so that it had not ended when that was sent.
func (s *Sender) Answered(pick *picker.Pick, sent Stamp) {
	if sent.known {
		cell.Raise(pick.AliveAt(), uint64(sent.uptime))
	}
}

// Misdirected records that the picked target no longer answers at its address. The target that answers there is used as
// its successor only if it certainly belongs to the same service, which nothing that it says of itself shows: the platform
// gives the address of an ended target to another service after AddressReuse at the earliest, and the picked target was
// alive within that time.
func (s *Sender) Misdirected(pick *picker.Pick, successor string) {
	if !pick.Gone() || successor == "" {
		return
	}
	now := s.Stamp()
	aliveAt := time.Duration(pick.AliveAt().Load())
	if !now.known || aliveAt == 0 || now.uptime-aliveAt >= s.settings.AddressReuse() {
		s.Log.WithFields(log.Fields{"target": successor, "address": pick.Target.Address, "old-target": pick.Target.Name}).
			Info("target that took over an address may belong to another service; it is not used until it is listed")
		return
	}
	s.Picker.Adopt(pick.Target, successor)
}
