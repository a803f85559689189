package chain

import "github.com/pkg/errors"

// ErrStopping is the cause for which the context of a call ends when the instance can no longer wait for the call. The
// caller is still there and gets an answer.
var ErrStopping = errors.New("the instance is stopping")

// Stopped means that a call was ended since the instance stops.
type Stopped struct {
	Answer Answer // Answer is what the caller gets.
	Work   Work
	Events int // Events is the number of events that the caller has.
}

// Work is the sealed set of what a call was doing when it was ended: Arriving, Rejected, Between, Queued and Running.
type Work interface {
	isWork()
}

// Arriving means that the body of the request was not whole.
type Arriving struct{}

// Rejected means that the request was not begun, since it could not end.
type Rejected struct{}

// Between means that no target had the request.
type Between struct{}

// Queued means that the request waited in the queue of a target, by the last report on it.
type Queued struct {
	Target string
}

// Running means that a target had the request.
type Running struct {
	Target string
}

// Unread stands for a request whose body was still arriving when the instance stopped.
type Unread struct{}

func (Arriving) isWork() {}
func (Rejected) isWork() {}
func (Between) isWork()  {}
func (Queued) isWork()   {}
func (Running) isWork()  {}

func (Stopped) isAnswer() {}
func (Unread) isRequest() {}
