package chain

import "time"

// Forward asks for a request to be passed on to a target of its route, its body and path unchanged.
type Forward struct {
	Host      string
	Method    string
	Path      string // Path is the raw request target, query included.
	Header    Header // Header holds what may be passed on to a target.
	Body      []byte
	Deadline  time.Time // Deadline is when the caller stops waiting.
	Received  time.Time
	LastEvent string // LastEvent is the id of the last event that the caller has, or empty.
	Session   string // Session names the part of the prompt that belongs to the caller's session, or is empty.
	Prompt    int    // Prompt is the length of the prompt in tokens, or 0.
	Outlet    Outlet
}

// Header holds the values of each header by its canonical name.
type Header map[string][]string

// Head begins a response.
type Head struct {
	Status int
	Header Header
}

// Outlet takes the parts of a response as they arrive; an error means that the caller is gone.
type Outlet interface {
	// Begin sends the head of a response whose events follow.
	Begin(h Head) error
	// Event sends one whole event.
	Event(raw []byte) error
}

// Passed is the whole response of a target.
type Passed struct {
	Head  Head
	Body  []byte
	Sends int // Sends counts the targets that were tried, those that could not be reached included.
}

// failures is the first status by which a target says that it failed by itself.
const failures = 500

// Failed tells whether the target failed by itself.
func (p Passed) Failed() bool {
	return p.Head.Status >= failures
}

// Finished says that all events of a response went to the outlet.
type Finished struct {
	Events  int
	Resumed int           // Resumed counts the targets that the stream went on at.
	First   time.Duration // First is the time until the first event.
	Pause   time.Duration // Pause is the longest pause between two events.
}

// Severed says that a response was begun and cannot be completed; its connection has to be cut.
type Severed struct {
	Reason string
}

func (Forward) isRequest() {}

func (Passed) isAnswer()   {}
func (Finished) isAnswer() {}
func (Severed) isAnswer()  {}
