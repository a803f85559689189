package send

import (
	"context"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/uptime"
	"github.com/apex/log"
)

// reportTimeout bounds the request for the report of a target that has answered 421. It is short since the caller waits
// meanwhile.
const reportTimeout = 200 * time.Millisecond

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

// Misdirected handles a 421, which names the target that has answered or nothing. It reports false if that is the picked
// one, which refuses the request for another reason. Otherwise it records that the picked target has ended.
//
// The target that answers there is used as the successor only if it certainly belongs to the same service, which nothing
// that it says of itself shows: the platform gives the address of an ended target to another service after AddressReuse at
// the earliest, and the picked target was alive within that time.
func (s *Sender) Misdirected(ctx context.Context, pick *picker.Pick, successor string) bool {
	if successor == pick.Target.Name || successor == "" && s.isSameStart(ctx, pick.Target) {
		return false
	}
	if !pick.Gone() || successor == "" {
		return true
	}
	now := s.Stamp()
	aliveAt := time.Duration(pick.AliveAt().Load())
	if !now.known || aliveAt == 0 || now.uptime-aliveAt >= s.settings.AddressReuse() {
		s.Log.WithFields(log.Fields{"target": successor, "address": pick.Target.Address, "old-target": pick.Target.Name}).
			Info("target that took over an address may belong to another service; it is not used until it is listed")
		return true
	}
	s.Picker.Adopt(pick.Target, successor)
	return true
}

// isSameStart reports whether the target that reports at an address is in the start that is declared there. The answer only
// keeps a target in use: requests name it, so that no other one runs them.
func (s *Sender) isSameStart(ctx context.Context, target site.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return target.StartID != 0 && s.reportedStart(ctx, target) == target.StartID
}
