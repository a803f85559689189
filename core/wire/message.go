package wire

import (
	"time"

	"bramleywharf.example/core/member"
)

// Message is the sealed set of messages that instances send to each other.
type Message interface {
	isMessage()
}

// Gossip is a heartbeat, as request and as response: it carries the sender's state, updates of other members and how
// current the sender's configuration is.
type Gossip struct {
	From     member.Member   `cbor:"1,keyasint"`
	Members  []member.Member `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"` // Revision is the sender's configuration revision.
	// Age is the time since that revision was last confirmed to be current, by the platform or through any peer.
	Age time.Duration `cbor:"4,keyasint"`
	// Forward is a peer address that the receiver is to probe for the sender.
	Forward string `cbor:"5,keyasint,omitempty"`
	Full    bool   `cbor:"6,keyasint,omitempty"` // Full requests all live members in the response.
	Load    int    `cbor:"7,keyasint,omitempty"` // Load is the number of generations that the sender runs.
}

// PullConfig requests the configuration objects that changed after a revision.
type PullConfig struct {
	After uint64 `cbor:"1,keyasint"`
}

// ConfigPage is the response to PullConfig, with all changes up to Revision.
type ConfigPage struct {
	Revision uint64         `cbor:"1,keyasint"`
	Objects  []ConfigObject `cbor:"2,keyasint,omitempty"`
}

// ConfigObject is one stored object; Value has the encoding of the store.
type ConfigObject struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Value    []byte `cbor:"5,keyasint,omitempty"`
}

// Log is the state of one generation, or an update of it. The instance that runs the generation, its origin, sends it
// to another instance, its keeper, so that any instance can continue the generation when the origin has failed.
type Log struct {
	Request      string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint,omitempty"`
	Model        string `cbor:"3,keyasint,omitempty"`
	Adapter      string `cbor:"4,keyasint,omitempty"`
	Version      string `cbor:"5,keyasint,omitempty"`
	Seed         uint64 `cbor:"6,keyasint,omitempty"`
	MaxTokens    int    `cbor:"7,keyasint,omitempty"`
	Priority     int    `cbor:"8,keyasint,omitempty"`
	// Prompt is sent once, when the generation is long enough to be costly to repeat.
	Prompt    string `cbor:"9,keyasint,omitempty"`
	Target    string `cbor:"10,keyasint,omitempty"`
	AttemptID string `cbor:"15,keyasint,omitempty"` // AttemptID identifies the attempt at the engine.
	Attempt   int    `cbor:"11,keyasint,omitempty"`
	// Offset is the position of the first of Tokens in the generation.
	Offset int      `cbor:"12,keyasint,omitempty"`
	Tokens []string `cbor:"13,keyasint,omitempty"`
	Done   bool     `cbor:"14,keyasint,omitempty"` // Done tells the keeper to delete its copy.
}

// Keep sends updates of generations to their keeper.
type Keep struct {
	From string `cbor:"1,keyasint"`
	Logs []Log  `cbor:"2,keyasint"`
}

// Kept is the response to Keep.
type Kept struct {
	Unknown []string `cbor:"1,keyasint,omitempty"` // Unknown lists requests whose earlier updates the keeper lacks.
}

// Adopt asks the origin or the keeper of a generation for its state, so that another instance can continue it. An
// origin that still runs the generation gives it up.
type Adopt struct {
	Request string `cbor:"1,keyasint"`
	By      string `cbor:"2,keyasint"`
}

// Adopted is the response to Adopt; Found tells whether Log holds the generation.
type Adopted struct {
	Found bool `cbor:"1,keyasint"`
	Log   Log  `cbor:"2,keyasint"`
}

// Want is what an instance needs of one organisation's slots, each of which allows one running request.
type Want struct {
	Organisation string `cbor:"1,keyasint"`
	Running      int    `cbor:"2,keyasint"` // Running is the number of slots in use.
	Held         int    `cbor:"4,keyasint"` // Held is the number of slots granted before and still valid.
	Wanted       int    `cbor:"3,keyasint"` // Wanted is the number of slots requested, including those in use.
}

// Borrow requests slots of several organisations from their lender, the instance that divides an organisation's
// ceiling among all instances.
type Borrow struct {
	From  string `cbor:"1,keyasint"`
	Wants []Want `cbor:"2,keyasint"`
}

// Lent is the response to Borrow: the slots granted for each Want, in the same order. They are valid for Life from when
// Borrow was sent.
type Lent struct {
	Slots []int         `cbor:"1,keyasint"`
	Life  time.Duration `cbor:"2,keyasint"`
}

// Spend asks the instance that issued a key to run a non-idempotent call, since it alone remembers whether the key has
// been used.
type Spend struct {
	Key          string        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	Service      string        `cbor:"3,keyasint"`
	Method       string        `cbor:"4,keyasint"`
	Path         string        `cbor:"5,keyasint"`
	ContentType  string        `cbor:"6,keyasint,omitempty"`
	Body         []byte        `cbor:"7,keyasint,omitempty"`
	Within       time.Duration `cbor:"8,keyasint"` // Within is the time left until the caller's deadline.
}

// Spent is the response to Spend: the outcome of the call, or a refusal.
type Spent struct {
	Status      int           `cbor:"1,keyasint,omitempty"`
	ContentType string        `cbor:"2,keyasint,omitempty"`
	Body        []byte        `cbor:"3,keyasint,omitempty"`
	Refusal     string        `cbor:"4,keyasint,omitempty"` // Refusal is the kind of the refusal, or empty.
	Detail      string        `cbor:"5,keyasint,omitempty"`
	Executed    string        `cbor:"6,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"7,keyasint,omitempty"`
}

// Mark is the revision up to which the sender knows one kind of stored objects.
type Mark struct {
	Kind string `cbor:"1,keyasint"`
	At   uint64 `cbor:"2,keyasint"`
}

// Pull requests the objects of several kinds that changed after the sender's marks.
type Pull struct {
	Marks []Mark `cbor:"1,keyasint"`
	Loads bool   `cbor:"4,keyasint,omitempty"` // Loads requests the loads of instances as well.
	Own   Load   `cbor:"2,keyasint,omitempty"` // Own is the sender's load.
	Known []Said `cbor:"3,keyasint,omitempty"` // Known lists the reports of other instances that the sender has.
}

// Said identifies the newest report of an instance's load that the sender has.
type Said struct {
	Instance string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Pages is the response to Pull, with the changes of each kind.
type Pages struct {
	Pages []KindPage `cbor:"1,keyasint,omitempty"`
	Loads []Load     `cbor:"2,keyasint,omitempty"` // Loads holds the reports that the requester lacks.
}

// Load is an instance's report of what it has running at targets.
type Load struct {
	Instance string       `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"` // Sequence increases with each report of an instance.
	Targets  []TargetLoad `cbor:"3,keyasint,omitempty"`
	Runs     []RunPlace   `cbor:"4,keyasint,omitempty"` // Runs holds the targets of its sessions.
	Spent    []Usage      `cbor:"5,keyasint,omitempty"` // Spent counts its recent requests to each service.
	// Lost holds the failure domains in which it recently lost targets.
	Lost []DomainLoss `cbor:"6,keyasint,omitempty"`
	// Successors holds the targets that it found at addresses of others.
	Successors []Successor `cbor:"7,keyasint,omitempty"`
}

// Successor is a target that an instance found at the address of another target of the same service, before the
// platform listed it.
type Successor struct {
	Name    string        `cbor:"1,keyasint"`
	Of      string        `cbor:"2,keyasint"` // Of is the target that it replaces; Started and Address are those of Of.
	Started int64         `cbor:"3,keyasint"`
	Address string        `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"` // Age is the time since it was found.
}

// DomainLoss is how long ago an instance last lost a target in a failure domain.
type DomainLoss struct {
	Domain string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Usage counts an instance's requests and retries of the last 10 s to one service.
type Usage struct {
	Service  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	Repeats  int    `cbor:"3,keyasint"`
}

// RunPlace is the target that last processed the prompt of a session, and so has it in its cache.
type RunPlace struct {
	Session string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

// TargetLoad is the load that one instance puts on one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	Flying int    `cbor:"2,keyasint"` // Flying is the number of running streams.
	Tokens int    `cbor:"3,keyasint"` // Tokens is the number of prompt tokens not processed yet.
	Copies int    `cbor:"4,keyasint"` // Copies is the number of replicas of prompt memory kept there.
}

// KindPage holds the changes of one kind up to the revision At.
type KindPage struct {
	Kind    string         `cbor:"1,keyasint"`
	At      uint64         `cbor:"2,keyasint"`
	Objects []ConfigObject `cbor:"3,keyasint,omitempty"`
	// Age is the time since the sender's copy was last confirmed to be current, by the store or through any instance.
	Age time.Duration `cbor:"4,keyasint"`
}

// Failed is the response to a message that could not be handled.
type Failed struct {
	Reason string `cbor:"1,keyasint"`
}

func (Gossip) isMessage()     {}
func (PullConfig) isMessage() {}
func (ConfigPage) isMessage() {}
func (Keep) isMessage()       {}
func (Kept) isMessage()       {}
func (Adopt) isMessage()      {}
func (Adopted) isMessage()    {}
func (Borrow) isMessage()     {}
func (Lent) isMessage()       {}
func (Spend) isMessage()      {}
func (Spent) isMessage()      {}
func (Pull) isMessage()       {}
func (Pages) isMessage()      {}
func (Failed) isMessage()     {}
