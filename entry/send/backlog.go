package send

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/retry"
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
	// maxLoadAge is the age of other instances' load reports from which targets are asked.
	maxLoadAge = time.Second
)

// askTimeout bounds a question for which a request waits. A target answers in about a millisecond, and reading a prompt takes a
// second.
const askTimeout = 100 * time.Millisecond

// queueAskTimeout bounds a question before a refusal, which has to come within 20 ms.
const queueAskTimeout = 15 * time.Millisecond

// errNoReport means that a target has answered the question for its report without one.
var errNoReport = errors.New("target makes no reports")

// PickStream chooses a target for a stream. If load reports are old, it asks the best targets how many prompts they have to
// read first.
func (s *Sender) PickStream(ctx context.Context, want picker.Want) (*picker.Pick, bool) {
	if s.Picker.LoadAge() < maxLoadAge {
		return s.Picker.Stream(want)
	}
	candidates := s.Picker.Best(want, askedTargets)
	switch len(candidates) {
	case 0:
		return nil, false
	case 1:
		return s.Picker.StreamAt(candidates[0], want)
	default:
		return s.Picker.StreamAt(candidates[route.LeastBacklog(s.backlogs(ctx, candidates))], want)
	}
}

// backlogs asks targets at the same time how many prompts they have to read.
func (s *Sender) backlogs(ctx context.Context, targets []site.Target) []route.Backlog {
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

// OfferState asks a target that was offered a request what it does with it.
func (s *Sender) OfferState(ctx context.Context, target site.Target, id string) retry.OfferState {
	progress, err := s.AskLoad(ctx, target, id)
	switch {
	case errors.Is(err, errNoReport):
		return retry.Unreported{}
	case err != nil:
		return retry.Unheard{}
	case progress.MayWait():
		return retry.Queued{}
	case progress.Listed || progress.Unnamed > 0:
		return retry.Working{}
	default:
		return retry.Unlisted{}
	}
}

// HasNoQueue asks a target whether no request waits in its queue.
func (s *Sender) HasNoQueue(ctx context.Context, target site.Target) bool {
	progress, err := s.AskLoad(ctx, target, "")
	return err == nil && progress.Waiting == 0
}

// hasQueue asks the target of a service that has the least load whether requests wait in its queue.
func (s *Sender) hasQueue(service string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), queueAskTimeout)
	defer cancel()
	for _, target := range s.Picker.Best(picker.Want{Service: service}, 1) {
		progress, err := s.AskProgress(ctx, target, "")
		return err == nil && progress.Waiting > 0
	}
	return false
}

// AskLoad is AskProgress for at most askTimeout.
func (s *Sender) AskLoad(ctx context.Context, target site.Target, id string) (Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.AskProgress(ctx, target, id)
}

// AskProgress asks a target for its report, and returns what it says of the request with an id.
func (s *Sender) AskProgress(ctx context.Context, target site.Target, id string) (Progress, error) {
	reply, body, err := s.Exchange(ctx, target, s.Dialect.Ask(target))
	if err != nil {
		return Progress{}, fmt.Errorf("ask for a report: %w", err)
	}
	switch reply.Status() {
	case http.StatusOK:
	case http.StatusNotFound:
		return Progress{}, fmt.Errorf("target %s: %w", target.Name, errNoReport)
	default:
		return Progress{}, fmt.Errorf("ask for a report: status %d", reply.Status())
	}
	progress, err := s.Dialect.Progress(id, body)
	if err != nil {
		s.Log.WithError(err).WithField("target", target.Name).Info("report of the target cannot be decoded")
		return Progress{}, fmt.Errorf("report of target %s: %w: %w", target.Name, errNoReport, err)
	}
	return progress, nil
}
