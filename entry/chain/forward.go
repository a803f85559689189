package chain

import "time"

// Forward asks for a request to be forwarded to a target of its route with its path and body unchanged.
type Forward struct {
	Host      string
	Method    string
	Path      string // Path is the raw request target, query included.
	Header    Header // Header holds the headers that may be forwarded to a target.
	Body      []byte
	Deadline  time.Time // Deadline is when the caller stops waiting.
	Received  time.Time // Received is when the request arrived.
	LastEvent string    // LastEvent is the id of the last event that the caller has, or empty.
	Prompt    Prompt    // Prompt lists the parts of the prompt as the caller declares them.
	Outlet    Outlet
}

// Header maps canonical header names to their values.
type Header map[string][]string

// Head is the status and the headers of a response.
type Head struct {
	Status int
	Header Header
}

// Outlet sends a streamed response to the caller as it arrives; an error means that the caller has disconnected.
type Outlet interface {
	// Begin sends the head of a response whose events follow.
	Begin(h Head) error
	// Event sends one whole event.
	Event(raw []byte) error
	// Abort makes a call of Event that waits for the caller return an error. It may be called from another goroutine.
	Abort()
}

// Passed is the whole response of a target, which is passed on to the caller.
type Passed struct {
	Head  Head
	Body  []byte
	Sends int // Sends counts the targets that were tried, including those that could not be reached.
}

// minFailureStatus is the lowest status that counts as a failure of the target.
const minFailureStatus = 500

// Failed reports whether the target itself failed.
func (p Passed) Failed() bool {
	return p.Head.Status >= minFailureStatus
}

// Finished means that all events of a response were sent to the outlet.
type Finished struct {
	Events  int           // Events is the number of events.
	Resumed int           // Resumed counts how often the stream continued at another target.
	First   time.Duration // First is the time until the first event.
	Pause   time.Duration // Pause is the longest time between two events.
}

// Severed means that a response was begun and cannot be completed, so that the connection to the caller must be closed.
type Severed struct {
	Reason  string // Reason is why the stream does not go on at another target.
	EndedBy Ending // EndedBy is what ended its last attempt, or empty if none was interrupted.
}

// Ending is what ended an attempt before the last event of its stream.
type Ending string

// Endings: EndedByTarget is a response that the target broke off, the others are decisions of this instance.
const (
	EndedByTarget  Ending = "target"
	EndedBySilence Ending = "silence" // EndedBySilence means that no event came in time.
	EndedByProbe   Ending = "probe"   // EndedByProbe means that the silent target took no connection.
	EndedByReport  Ending = "report"  // EndedByReport means that the silent target reported the stream as lost.
	EndedByQueue   Ending = "queue"   // EndedByQueue means that it waited in a queue and another target could begin.
)

// Endings lists all values of Ending.
var Endings = []Ending{EndedByTarget, EndedBySilence, EndedByProbe, EndedByReport, EndedByQueue}

func (Forward) isRequest() {}

func (Passed) isAnswer()   {}
func (Finished) isAnswer() {}
func (Severed) isAnswer()  {}
