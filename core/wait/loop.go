package wait

import "context"

// Loop is a closure that runs until it is closed; controllers embed theirs.
type Loop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs a closure on a goroutine of its own; its context ends when the loop is closed.
func Start(run func(ctx context.Context)) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		run(ctx)
	}()
	return l
}

// Close ends the loop and waits for its last step.
func (l *Loop) Close() {
	l.cancel()
	<-l.done
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}
