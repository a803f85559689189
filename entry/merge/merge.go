package merge

import (
	"bytes"
	"fmt"
	"time"

	"bramleywharf.example/core/series"
	"bramleywharf.example/entry/event"
	"github.com/pkg/errors"
)

// maxHold bounds the time for which a doubtful event is held. Callers notice delays from about 120 ms on.
const maxHold = 100 * time.Millisecond

// ErrDisputed means that another target is to tell whether a doubtful event belongs to the stream.
var ErrDisputed = errors.New("another target is asked for a doubtful event")

// Stream is the series of events that a caller gets. One goroutine uses it and its responses.
type Stream struct {
	known    *Known
	service  string
	position series.Position
	hasSent  bool // whether an event was passed on
}

// NewStream returns a stream of a service whose caller has the events up to the one with an id, or none.
func NewStream(known *Known, service, lastID string) *Stream {
	return &Stream{known: known, service: service, position: series.After(lastID)}
}

// LastID returns the id of the last event that was passed on, or an empty id.
func (s *Stream) LastID() string {
	return s.position.Last()
}

// IsOrdered reports whether another target can tell after which event to go on: none was passed on yet, or the last one has
// a number.
func (s *Stream) IsOrdered() bool {
	return !s.hasSent || s.position.IsNumbered()
}

// Response is the response of one target.
type Response struct {
	stream  *Stream
	hasSent bool // whether an event of the response was passed on
	held    *event.Event
	due     <-chan time.Time // receives a value when the held event is passed on for lack of a next one
}

// NewResponse returns the response of a target that is to go on with the stream.
func (s *Stream) NewResponse() *Response {
	return &Response{stream: s}
}

// Take takes the next event of the response and returns the events to pass on. It returns an error if the response does not
// go on with the stream. mayMove tells whether another target can be asked for a doubtful event.
func (r *Response) Take(e event.Event, mayMove func() bool) ([]event.Event, error) {
	var events []event.Event
	if held, ok := r.takeHeld(); ok {
		if err := r.confirm(held, e, mayMove); err != nil {
			return nil, err
		}
		r.learn(held)
		events = append(events, r.accept(held))
	}
	s := r.stream
	switch v := s.position.Judge(e.ID, s.known.at(s.service).Load().steps, !r.hasSent).(type) {
	case series.Foreign:
		return nil, fmt.Errorf("judge event: %w", v.Err)
	case series.Doubtful:
		r.hold(e)
		return events, nil
	}
	r.settle(e)
	r.learn(e)
	return append(events, r.accept(e)), nil
}

// Due returns a channel that receives a value when the held event is to be released, or nil.
func (r *Response) Due() <-chan time.Time {
	if r == nil {
		return nil
	}
	return r.due
}

// Release returns the event that is held, if there is one, since it is due or the response has ended. It is passed on whatever
// its id, as no next event tells more.
func (r *Response) Release() []event.Event {
	if held, ok := r.takeHeld(); ok {
		return []event.Event{r.accept(held)}
	}
	return nil
}

// confirm returns an error if a held event does not belong to the stream, by the event after it.
func (r *Response) confirm(held, next event.Event, mayMove func() bool) error {
	s := r.stream
	if !r.hasSent {
		return fmt.Errorf("event %s after event %s is not the last one: %w", held.ID, s.LastID(), series.ErrNotNext)
	}
	after := s.position.WithEvent(held.ID, false)
	if v, ok := after.Judge(next.ID, series.Steps{}, false).(series.Foreign); ok {
		return fmt.Errorf("judge event after a doubtful one: %w", v.Err)
	}
	if mayMove() && s.known.dispute(s.service) {
		s.position = s.position.WithDispute(held.ID)
		return fmt.Errorf("event %s after event %s: %w", held.ID, s.LastID(), ErrDisputed)
	}
	return nil
}

// settle ends the dispute of the stream with the first event of another target, which confirms a doubtful event or
// replaces it.
func (r *Response) settle(e event.Event) {
	s := r.stream
	if !s.position.IsDisputed() {
		return
	}
	if size, ok := s.position.Step(e.ID); ok && s.position.Confirms(e.ID) {
		s.known.learn(s.service, size)
	}
	s.known.settle(s.service)
}

// learn records the step to an event within the response.
func (r *Response) learn(e event.Event) {
	if size, ok := r.stream.position.Step(e.ID); ok && r.hasSent {
		r.stream.known.learn(r.stream.service, size)
	}
}

// accept returns an event, which is the next one of the stream.
func (r *Response) accept(e event.Event) event.Event {
	r.stream.position = r.stream.position.WithEvent(e.ID, !r.hasSent)
	r.hasSent, r.stream.hasSent = true, true
	return e
}

// hold keeps an event until the next one comes. Its bytes are valid until then only.
func (r *Response) hold(e event.Event) {
	e.Raw = bytes.Clone(e.Raw)
	r.held, r.due = &e, time.After(maxHold)
}

// takeHeld returns the held event, which is held no longer, and whether there is one.
func (r *Response) takeHeld() (event.Event, bool) {
	if r.held == nil {
		return event.Event{}, false
	}
	held := *r.held
	r.held, r.due = nil, nil
	return held, true
}
