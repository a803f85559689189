package send

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/link"
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
	progress, err := s.AskProgress(ctx, target, "")
	switch {
	case link.IsNotSent(err):
		return route.Unreachable{}
	case err != nil:
		return route.Unasked{}
	default:
		return route.Unread{Prompts: progress.Unnamed}
	}
}

// AskProgress asks a target for its report, and returns what it says of the request with an id.
func (s *Sender) AskProgress(ctx context.Context, target site.Target, id string) (Progress, error) {
	_, body, err := s.Exchange(ctx, target, s.Dialect.Ask(target))
	if err != nil {
		return Progress{}, fmt.Errorf("ask for a report: %w", err)
	}
	progress, err := s.Dialect.Progress(id, body)
	if err != nil {
		s.Log.WithError(err).WithField("target", target.Name).Info("report of the target cannot be decoded")
		return Progress{}, fmt.Errorf("report of target %s: %w", target.Name, err)
	}
	return progress, nil
}
