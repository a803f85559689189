package send

import (
	"context"
	"time"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
	"github.com/apex/log"
)

// queryTimeout bounds the request to a target that took over another one's address. It is short since the caller waits
// meanwhile.
const queryTimeout = 200 * time.Millisecond

// Misdirected records that the picked target no longer answers at its address. The target that answers there is used as
// its successor if it certainly belongs to the same service: it is an engine, and no other service has engines. Without
// this, restarted targets could not be used while the platform's list is unreachable.
func (s *Sender) Misdirected(ctx context.Context, call chain.Call, pick *picker.Pick, successor string) {
	if !pick.Gone() || successor == "" || call.Site == nil || !call.Site.IsOnlyEngineService(pick.Target.Service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	logger := s.Log.WithFields(log.Fields{"request": call.ID, "target": successor, "address": pick.Target.Address})
	holder := pick.Target
	holder.Name, holder.StartID = successor, 0
	reply, body, err := s.Exchange(ctx, holder, s.Dialect.Ask(holder))
	if err != nil {
		logger.WithError(err).Info("target that took over an address did not report what it runs; it is not used until it is listed")
		return
	}
	if !s.Dialect.IsEngine(reply.Status(), body) {
		logger.Info("target that took over an address is not an engine; it is not used until it is listed")
		return
	}
	s.Picker.Adopt(pick.Target, successor)
}
