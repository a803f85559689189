package series

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
)

// Errors of events that do not belong to a stream.
var (
	ErrNotNext = errors.New("event does not follow")
	ErrGap     = errors.New("response resumes at a later event")
)

// Verdict is the sealed set of what an id tells about an event: Next, Doubtful and Foreign.
type Verdict interface {
	isVerdict()
}

// Next means that the event may come next.
type Next struct{}

// Doubtful means that the id increases by another step than all ids before. The events that come after it tell more.
type Doubtful struct{}

// Foreign means that the event does not belong to the stream here.
type Foreign struct {
	Err error
}

func (Next) isVerdict()     {}
func (Doubtful) isVerdict() {}
func (Foreign) isVerdict()  {}

// Position is how far a stream has come, by the ids of its events. It is immutable.
type Position struct {
	last     string // last is the id of the last event, or empty.
	steps    Steps  // steps are those within the responses of targets.
	disputed string // disputed is the id of an event that another target is to confirm, or empty.
}

// After returns the position of a stream after the event with an id, which is empty at its begin.
func After(id string) Position {
	return Position{last: id}
}

// Last returns the id of the last event, or an empty id.
func (p Position) Last() string {
	return p.last
}

// IsNumbered reports whether the last id is a number, so that another target can tell after which event to go on.
func (p Position) IsNumbered() bool {
	_, ok := number(p.last)
	return ok
}

// WithEvent returns the position after an event with an id. The step to the first event of a response is not counted: it
// is from the last event of another one, or from none.
func (p Position) WithEvent(id string, isFirst bool) Position {
	if id == "" {
		return p
	}
	if size, ok := p.Step(id); ok && !isFirst {
		p.steps = p.steps.With(size)
	}
	p.last, p.disputed = id, ""
	return p
}

// WithDispute returns the position after a target has sent an event that another target is to confirm.
func (p Position) WithDispute(id string) Position {
	p.disputed = id
	return p
}

// IsDisputed reports whether another target is to confirm an event.
func (p Position) IsDisputed() bool {
	return p.disputed != ""
}

// Confirms reports whether an event with an id confirms the one that is disputed.
func (p Position) Confirms(id string) bool {
	return p.IsDisputed() && p.disputed == id
}

// Judge tells whether an event with an id may come next. service has the steps of all streams of the service; isFirst
// tells that the event is the first one of a response, which may begin at a wrong event.
func (p Position) Judge(id string, service Steps, isFirst bool) Verdict {
	if !p.IsNumbered() {
		return Next{}
	}
	size, ok := p.Step(id)
	if !ok || size <= 0 {
		return Foreign{Err: fmt.Errorf("event %s after event %s: %w", id, p.last, ErrNotNext)}
	}
	expected, ok := p.expected(service, isFirst)
	switch {
	case !ok || size == expected || p.Confirms(id):
		return Next{}
	case isFirst && size > expected:
		return Foreign{Err: fmt.Errorf("event %s after event %s, in steps of %d: %w", id, p.last, expected, ErrGap)}
	default:
		return Doubtful{}
	}
}

// expected returns the size of the next step, and whether it is known. Within a response its own steps tell: another version of
// the target may number events in its own way.
func (p Position) expected(service Steps, isFirst bool) (int64, bool) {
	switch {
	case p.steps.uneven || service.uneven:
		return 0, false
	case p.steps.count >= minSteps:
		return p.steps.size, true
	default:
		return service.size, isFirst && service.count >= minServiceSteps
	}
}

// Step returns the difference between an id and the last one, and whether both are numbers.
func (p Position) Step(id string) (int64, bool) {
	last, isNumbered := number(p.last)
	next, ok := number(id)
	return next - last, ok && isNumbered
}

// number returns the number that an id stands for, and whether it is one.
func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
