package send

import (
	"context"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/apex/log"
)

// askTimeout bounds a question to a target that may have another one's address; a caller may wait meanwhile.
const askTimeout = 200 * time.Millisecond

// Misdirected notes that a target was not at its address any more, and takes the one that is there now in its place if that is surely of the same service: an engine, where no other service has engines. While the platform's list cannot be had, targets that started again would be out of use otherwise.
func (s *Sender) Misdirected(ctx context.Context, c chain.Call, pick *picker.Pick, holder string) {
	if pick.Gone() && c.Site != nil && c.Site.IsOnlyEngine(pick.Target.Service) {
		s.adopt(ctx, pick.Target, holder)
	}
}

// adopt takes the engine at a target's address in its place.
func (s *Sender) adopt(ctx context.Context, of site.Target, holder string) {
	if holder == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	line := s.Log.WithFields(log.Fields{"target": holder, "address": of.Address, "old-target": of.Name})
	status, _, body, err := s.ask(ctx, s.Dialect.Ask(of))
	switch {
	case err != nil:
		line.WithError(err).Info("target at another one's address does not say what it is")
	case !s.Dialect.IsEngine(status, body):
		line.Info("target at another one's address is no engine")
	default:
		s.Picker.Adopt(of, holder)
	}
}

// seek asks whether a lost target is back, or which one has its address.
func (s *Sender) seek(ctx context.Context, t site.Target) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, header, _, err := s.ask(ctx, s.Dialect.Seek(t))
	if err != nil {
		s.Log.WithError(err).WithField("target", t.Name).Debug("lost target does not answer yet")
		return
	}
	if v, ok := s.Dialect.Judge(status, header).(NotRun); ok && v.Misdirected {
		s.Picker.End(t)
		s.adopt(ctx, t, v.Holder)
		return
	}
	s.Picker.Back(t)
}

// ask sends a question to a target and returns its whole answer.
func (s *Sender) ask(ctx context.Context, question link.Request) (status int, header map[string][]string, body []byte, err error) {
	reply, err := s.Link.Send(ctx, question)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = reply.Whole()
	return reply.Status(), reply.Header(), body, err
}
