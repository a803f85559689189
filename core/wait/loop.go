package wait

import "context"

// Loop is a function that runs on its own goroutine until it is closed; a controller embeds its Loop.
type Loop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs a function on its own goroutine; its context ends when the loop is closed.
func Start(run func(ctx context.Context)) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		run(ctx)
	}()
	return l
}

// Close cancels the context of the function and waits until it has returned.
func (l *Loop) Close() {
	l.cancel()
	<-l.done
}

// Done returns a channel that closes when the function has returned.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}
