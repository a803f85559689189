package send

import (
	"context"
	"time"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
	"github.com/apex/log"
)

// askTimeout bounds the question to a target that has another one's address; its caller waits meanwhile.
const askTimeout = 200 * time.Millisecond

// Misdirected notes that a target was not at its address any more. The one that is there now takes its place if it is surely of the same service: an engine, where no other service has engines. While the platform's list cannot be had, targets that started again would be out of use otherwise.
func (s *Sender) Misdirected(ctx context.Context, c chain.Call, pick *picker.Pick, holder string) {
	if !pick.Gone() || holder == "" || c.Site == nil || !c.Site.IsOnlyEngine(pick.Target.Service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	line := s.Log.WithFields(log.Fields{"request": c.ID, "target": holder, "address": pick.Target.Address})
	reply, body, err := s.Link.Exchange(ctx, s.Dialect.Ask(pick.Target))
	if err != nil {
		line.WithError(err).Info("target at another one's address does not say what it is")
		return
	}
	if !s.Dialect.IsEngine(reply.Status(), body) {
		line.Info("target at another one's address is no engine")
		return
	}
	s.Picker.Adopt(pick.Target, holder)
}
