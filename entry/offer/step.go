package offer

import (
	"mime"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/event"
	"bramleywharf.example/entry/link"
)

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// Step is the sealed set of what happens to an offer. The first step is Accepted, Answered, NotRun or Broken. After
// Accepted follow any number of Event, then End or Broken.
type Step interface {
	isStep()
}

// Accepted means that the target answers with status 200; events may follow.
type Accepted struct {
	Head  chain.Head
	reply *link.Reply
}

// Answered means that the target answered with another status instead of a stream.
type Answered struct {
	Head chain.Head
	Body []byte
}

// NotRun means that no target has run the request.
type NotRun struct {
	Received    bool // Received tells that a target received the request and refused it.
	Misdirected bool // Misdirected tells that another target has the address; the intended one has ended.
	Unmet       bool // Unmet tells that the target refuses the request whatever its load, as for a version that it lacks.
	Cause       string
}

// Broken means that there was no valid response, or that it broke off; the target may have run the request.
type Broken struct {
	Err error
}

// Event is the next whole event; it is valid until the next step is asked for.
type Event struct {
	event.Event
}

// End means that the response has ended as it should.
type End struct{}

func (Accepted) isStep() {}
func (Answered) isStep() {}
func (NotRun) isStep()   {}
func (Broken) isStep()   {}
func (Event) isStep()    {}
func (End) isStep()      {}

// ForeignType returns the media type of a response that states one other than that of streams, or an empty text.
func (a Accepted) ForeignType() string {
	if mediaType := a.mediaType(); mediaType != eventStreamType {
		return mediaType
	}
	return ""
}

// Delimited reports whether the response tells where it ends. One that does not ends with its connection.
func (a Accepted) Delimited() bool {
	return a.reply.Delimited()
}

// StatesLength reports whether the response says itself that it is a stream and where it ends.
func (a Accepted) StatesLength() bool {
	return a.reply.Delimited() && a.mediaType() == eventStreamType
}

// mediaType returns the media type of the response, or an empty text if it states none.
func (a Accepted) mediaType() string {
	mediaType, _, _ := mime.ParseMediaType(a.reply.Header().Get("Content-Type"))
	return mediaType
}
