package chain

import (
	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/site"
)

// Request is the sealed set of requests: Generate, Resume, Invoke, Lookup and Forward.
type Request interface {
	isRequest()
}

// Generate asks for a new generation.
type Generate struct {
	Model     string
	Adapter   string
	Version   string // Version is empty for the model's default.
	Prompt    string
	Seed      uint64
	MaxTokens int
}

// Resume asks for a stream to go on after an event id.
type Resume struct {
	LastEventID string
	Prompt      string // Prompt is the prompt sent again, or empty.
}

// Invoke asks for a call of a plain service.
type Invoke struct {
	Service       string
	Method        string
	Path          string
	Key           string // Key names a non-idempotent call.
	ContentType   string
	Body          []byte
	NonIdempotent bool // NonIdempotent is the caller's own mark.
}

// Lookup asks which instances to use.
type Lookup struct {
	Model  string
	Prompt string
	Domain string // Domain is the caller's failure domain, or empty.
}

func (Generate) isRequest() {}
func (Resume) isRequest()   {}
func (Invoke) isRequest()   {}
func (Lookup) isRequest()   {}

// Sink takes the tokens of a stream; an error means that the caller is gone.
type Sink interface {
	// Heartbeat shows the caller that the stream is alive.
	Heartbeat() error
	// Token hands over one token with the id to resume after it.
	Token(id string, t flow.Token) error
}

// Call is one request on its way through the filters; its values are never changed after construction.
type Call struct {
	ID           string
	Credential   string
	Organisation string
	Request      Request
	Config       *conf.Snapshot
	Limit        conf.Limit
	Sink         Sink
	Site         *site.Config // Site judges forwarded requests.
	Route        site.Route   // Route is that of a forwarded request.
	Urgency      int          // Urgency ranks a forwarded call; 0 is the most urgent.
	Entered      func()       // Entered is called when the call holds the engine that it was let through to, or is nil.
}

// WithConfig returns a copy that is judged by a snapshot and limit.
func (c Call) WithConfig(s *conf.Snapshot, l conf.Limit) Call {
	c.Config = s
	c.Limit = l
	return c
}

// WithEntered returns a copy that tells when it holds its engine.
func (c Call) WithEntered(entered func()) Call {
	c.Entered = entered
	return c
}

// WithOrganisation returns a copy made by an organisation.
func (c Call) WithOrganisation(name string) Call {
	c.Organisation = name
	return c
}

// WithRequest returns a copy that asks for something else.
func (c Call) WithRequest(r Request) Call {
	c.Request = r
	return c
}

// WithRoute returns a copy of a forwarded call on its way along a route.
func (c Call) WithRoute(s *site.Config, r site.Route) Call {
	c.Site = s
	c.Route = r
	return c
}

// WithUrgency returns a copy of a forwarded call of a rank.
func (c Call) WithUrgency(rank int) Call {
	c.Urgency = rank
	return c
}
