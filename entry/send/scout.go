package send

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
)

const (
	scoutPeriod = 300 * time.Millisecond // scoutPeriod is the time between two looks for lost targets; engines are back after a second or so.
	scoutAgain  = 900 * time.Millisecond // scoutAgain is the least time between two questions to one target, each of which is paid for.
	scoutAtOnce = 8                      // scoutAtOnce bounds the questions on their way.
)

// Scout looks for targets that this instance lost while the platform's list cannot be had. A question costs less than a request that finds another target at the address: that one counts as a repeat.
type Scout struct {
	sender *Sender
	config func() *site.Config
	asked  map[string]time.Time // asked holds when each target was asked last.
	cancel context.CancelFunc
	done   chan struct{}
}

// NewScout returns a scout that looks until it is closed.
func NewScout(s *Sender, config func() *site.Config) *Scout {
	ctx, cancel := context.WithCancel(context.Background())
	scout := &Scout{sender: s, config: config, asked: make(map[string]time.Time), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(scout.done)
		for wait.For(ctx, scoutPeriod) {
			scout.look(ctx)
		}
	}()
	return scout
}

// Close stops looking.
func (s *Scout) Close() {
	s.cancel()
	<-s.done
}

// Done is closed when the scout has stopped.
func (s *Scout) Done() <-chan struct{} {
	return s.done
}

// look asks the lost engines whether they are back.
func (s *Scout) look(ctx context.Context) {
	config := s.config()
	if config == nil || s.sender.Picker.Listed() {
		clear(s.asked)
		return
	}
	now := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	count := 0
	for _, t := range s.sender.Picker.Missing() {
		if count == scoutAtOnce || now.Sub(s.asked[t.Name]) < scoutAgain || !config.IsOnlyEngine(t.Service) {
			continue
		}
		count++
		s.asked[t.Name] = now
		group.Go(func() { s.sender.seek(ctx, t) })
	}
}
