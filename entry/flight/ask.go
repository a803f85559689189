package flight

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/pkg/errors"
)

const (
	// askedTargets is the number of targets that are asked for their load before a stream is placed; asking more of them
	// would send many instances to the same idle ones.
	askedTargets = 2
	// askTimeout bounds that question. A target answers in about a millisecond, and reading a prompt takes a second.
	askTimeout = 100 * time.Millisecond
	// maxLoadAge is the age of other instances' load reports from which targets are asked.
	maxLoadAge = time.Second
)

// pickTarget chooses a target for the stream. If load reports are old, it asks the best targets how many prompts they
// have to read first.
func (s *stream) pickTarget(ctx context.Context) (*picker.Pick, bool) {
	want := s.want()
	if s.sender.Picker.LoadAge() < maxLoadAge {
		return s.sender.Picker.Stream(want)
	}
	candidates := s.sender.Picker.Best(want, askedTargets)
	switch len(candidates) {
	case 0:
		return nil, false
	case 1:
		return s.sender.Picker.StreamAt(candidates[0], want)
	default:
		return s.sender.Picker.StreamAt(candidates[route.LeastBacklog(s.askBacklogs(ctx, candidates))], want)
	}
}

// askBacklogs asks targets at the same time how many prompts they have to read.
func (s *stream) askBacklogs(ctx context.Context, targets []site.Target) []route.Backlog {
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
func (s *stream) askBacklog(ctx context.Context, target site.Target) route.Backlog {
	_, body, err := s.sender.Link.Exchange(ctx, s.sender.Dialect.Ask(target))
	var notSentErr *link.NotSentError
	if errors.As(err, &notSentErr) {
		return route.Unreachable{}
	}
	if err != nil {
		return route.Unasked{}
	}
	progress, err := s.sender.Dialect.Progress("", body)
	if err != nil {
		s.sender.Log.WithError(err).WithField("target", target.Name).Info("report of the target cannot be decoded")
		return route.Unasked{}
	}
	return route.Unread{Prompts: progress.Unnamed}
}
