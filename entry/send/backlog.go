package send

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/link"
	"github.com/pkg/errors"
)

// askTimeout bounds the question for a backlog. A target answers in about a millisecond, and reading a prompt takes a
// second.
const askTimeout = 100 * time.Millisecond

// Backlogs asks targets at the same time how many prompts they have to read.
func (s *Sender) Backlogs(ctx context.Context, targets []site.Target) []route.Backlog {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	backlogs := make([]route.Backlog, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		group.Go(func() { backlogs[i] = s.askBacklog(ctx, target) })
	}
	group.Wait()
	return backlogs
}

// askBacklog asks one target how many prompts it has to read.
func (s *Sender) askBacklog(ctx context.Context, target site.Target) route.Backlog {
	_, body, err := s.Link.Exchange(ctx, s.Dialect.Ask(target))
	var notSentErr *link.NotSentError
	if errors.As(err, &notSentErr) {
		return route.Unreachable{}
	}
	if err != nil {
		return route.Unasked{}
	}
	progress, err := s.Dialect.Progress("", body)
	if err != nil {
		s.Log.WithError(err).WithField("target", target.Name).Info("report of the target cannot be decoded")
		return route.Unasked{}
	}
	return route.Unread{Prompts: progress.Unnamed}
}
