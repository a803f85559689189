package chain

import (
	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/site"
)

// Request is the sealed set of requests: Generate, Resume, Invoke, Lookup, Forward and Unread.
type Request interface {
	isRequest()
}

// Generate asks for a new generation.
type Generate struct {
	Model     string
	Adapter   string
	Version   string // Version is empty for the model's default version.
	Prompt    string
	Seed      uint64
	MaxTokens int
}

// Resume asks for a stream to continue after the event with an id.
type Resume struct {
	LastEventID string
	Prompt      string // Prompt is the prompt of the generation if the caller sends it again, or empty.
}

// Invoke asks for a request to a plain service.
type Invoke struct {
	Service       string
	Method        string
	Path          string
	Key           string // Key is the idempotency key of a non-idempotent request.
	ContentType   string
	Body          []byte
	NonIdempotent bool // NonIdempotent tells that the caller declared the request to be non-idempotent.
}

// Lookup asks which instances the caller should use.
type Lookup struct {
	Model  string
	Prompt string
	Domain string // Domain is the caller's failure domain, or empty.
}

func (Generate) isRequest() {}
func (Resume) isRequest()   {}
func (Invoke) isRequest()   {}
func (Lookup) isRequest()   {}

// Sink sends the tokens of a stream to the caller; an error means that the caller has disconnected.
type Sink interface {
	// Heartbeat shows the caller that the stream is alive.
	Heartbeat() error
	// Token sends one token with the id after which the stream can be resumed.
	Token(id string, t flow.Token) error
}

// Call is one request as it passes through the filters. It is not changed after construction; the With methods return
// changed copies.
type Call struct {
	ID           string
	Credential   string
	Organisation string
	Request      Request
	Config       *conf.Snapshot
	Limit        conf.Limit
	Sink         Sink
	Site         *site.Config // Site is the configuration that applies to a forwarded request.
	Route        site.Route   // Route is that of a forwarded request.
	Urgency      int          // Urgency is the priority of a forwarded request; 0 is the most urgent.
	Entered      func()       // Entered is called when the call holds the engine that it was admitted to, or is nil.
}

// WithConfig returns a copy to which a configuration snapshot and a limit apply.
func (c Call) WithConfig(s *conf.Snapshot, l conf.Limit) Call {
	c.Config = s
	c.Limit = l
	return c
}

// WithEntered returns a copy that calls a function when it holds its engine.
func (c Call) WithEntered(entered func()) Call {
	c.Entered = entered
	return c
}

// WithOrganisation returns a copy whose caller belongs to an organisation.
func (c Call) WithOrganisation(name string) Call {
	c.Organisation = name
	return c
}

// WithRequest returns a copy with another request.
func (c Call) WithRequest(r Request) Call {
	c.Request = r
	return c
}

// WithRoute returns a copy that is forwarded along a route of a configuration.
func (c Call) WithRoute(s *site.Config, r site.Route) Call {
	c.Site = s
	c.Route = r
	return c
}

// WithUrgency returns a copy with a priority among forwarded requests.
func (c Call) WithUrgency(urgency int) Call {
	c.Urgency = urgency
	return c
}
