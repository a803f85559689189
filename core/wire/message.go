package wire

import (
	"time"

	"bramleywharf.example/core/member"
)

// Message is the sealed set of messages between instances.
type Message interface {
	isMessage()
}

// Gossip is a heartbeat in either direction: news of members and how fresh the sender's configuration is.
type Gossip struct {
	From     member.Member   `cbor:"1,keyasint"`
	Members  []member.Member `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"`           // Revision is the sender's configuration revision.
	Age      time.Duration   `cbor:"4,keyasint"`           // Age is the time since the platform was last heard of, by way of any peer.
	Forward  string          `cbor:"5,keyasint,omitempty"` // Forward asks the receiver to probe this peer address on the sender's behalf.
	Full     bool            `cbor:"6,keyasint,omitempty"` // Full asks for the whole view in the answer.
	Load     int             `cbor:"7,keyasint,omitempty"` // Load counts the sender's generations.
}

// PullConfig asks for configuration changed after a revision.
type PullConfig struct {
	After uint64 `cbor:"1,keyasint"`
}

// ConfigPage answers PullConfig with all changes up to a revision.
type ConfigPage struct {
	Revision uint64         `cbor:"1,keyasint"`
	Objects  []ConfigObject `cbor:"2,keyasint,omitempty"`
}

// ConfigObject is one configuration object in its stored encoding.
type ConfigObject struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Value    []byte `cbor:"5,keyasint,omitempty"`
}

// Log is the copy of one generation that a keeper holds for its origin.
type Log struct {
	Request      string   `cbor:"1,keyasint"`
	Organisation string   `cbor:"2,keyasint,omitempty"`
	Model        string   `cbor:"3,keyasint,omitempty"`
	Adapter      string   `cbor:"4,keyasint,omitempty"`
	Version      string   `cbor:"5,keyasint,omitempty"`
	Seed         uint64   `cbor:"6,keyasint,omitempty"`
	MaxTokens    int      `cbor:"7,keyasint,omitempty"`
	Priority     int      `cbor:"8,keyasint,omitempty"`
	Prompt       string   `cbor:"9,keyasint,omitempty"` // Prompt is sent once, when the generation has grown costly.
	Target       string   `cbor:"10,keyasint,omitempty"`
	AttemptID    string   `cbor:"15,keyasint,omitempty"` // AttemptID names the attempt at the engine.
	Attempt      int      `cbor:"11,keyasint,omitempty"`
	Offset       int      `cbor:"12,keyasint,omitempty"` // Offset is that of the first of Tokens.
	Tokens       []string `cbor:"13,keyasint,omitempty"`
	Done         bool     `cbor:"14,keyasint,omitempty"` // Done tells the keeper to forget the generation.
}

// Keep hands news of generations to a keeper.
type Keep struct {
	From string `cbor:"1,keyasint"`
	Logs []Log  `cbor:"2,keyasint"`
}

// Kept answers Keep.
type Kept struct {
	Unknown []string `cbor:"1,keyasint,omitempty"` // Unknown names requests whose beginning the keeper lacks.
}

// Adopt asks the origin or keeper of a generation to let another instance go on with it.
type Adopt struct {
	Request string `cbor:"1,keyasint"`
	By      string `cbor:"2,keyasint"`
}

// Adopted answers Adopt with what is held of the generation.
type Adopted struct {
	Found bool `cbor:"1,keyasint"`
	Log   Log  `cbor:"2,keyasint"`
}

// Want asks an organisation's lender for running slots.
type Want struct {
	Organisation string `cbor:"1,keyasint"`
	Running      int    `cbor:"2,keyasint"` // Running counts the slots in use.
	Held         int    `cbor:"4,keyasint"` // Held counts the slots granted before and still valid.
	Wanted       int    `cbor:"3,keyasint"` // Wanted counts the slots asked for, those in use included.
}

// Borrow asks a lender for slots of several organisations.
type Borrow struct {
	From  string `cbor:"1,keyasint"`
	Wants []Want `cbor:"2,keyasint"`
}

// Lent answers Borrow with the slots granted, in the same order, for a time that counts from the sending of Borrow.
type Lent struct {
	Slots []int         `cbor:"1,keyasint"`
	Life  time.Duration `cbor:"2,keyasint"`
}

// Spend asks the issuer of a key to run a non-idempotent call, which only its own memory may decide.
type Spend struct {
	Key          string        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	Service      string        `cbor:"3,keyasint"`
	Method       string        `cbor:"4,keyasint"`
	Path         string        `cbor:"5,keyasint"`
	ContentType  string        `cbor:"6,keyasint,omitempty"`
	Body         []byte        `cbor:"7,keyasint,omitempty"`
	Within       time.Duration `cbor:"8,keyasint"` // Within is what is left of the caller's deadline.
}

// Spent answers Spend with the outcome of the call, or with a refusal.
type Spent struct {
	Status      int           `cbor:"1,keyasint,omitempty"`
	ContentType string        `cbor:"2,keyasint,omitempty"`
	Body        []byte        `cbor:"3,keyasint,omitempty"`
	Refusal     string        `cbor:"4,keyasint,omitempty"` // Refusal is the kind of refusal, or empty.
	Detail      string        `cbor:"5,keyasint,omitempty"`
	Executed    string        `cbor:"6,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"7,keyasint,omitempty"`
}

// Mark says up to which revision the sender knows one kind of stored objects.
type Mark struct {
	Kind string `cbor:"1,keyasint"`
	At   uint64 `cbor:"2,keyasint"`
}

// Pull asks for what changed after the sender's marks.
type Pull struct {
	Marks []Mark `cbor:"1,keyasint"`
	Loads bool   `cbor:"4,keyasint,omitempty"` // Loads asks for the loads of targets too.
	Own   Load   `cbor:"2,keyasint,omitempty"` // Own is the sender's load.
	Known []Said `cbor:"3,keyasint,omitempty"` // Known tells which statements of others the sender has.
}

// Said names the newest statement of an instance's load.
type Said struct {
	Instance string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Pages answers Pull with the changes of each kind.
type Pages struct {
	Pages []KindPage `cbor:"1,keyasint,omitempty"`
	Loads []Load     `cbor:"2,keyasint,omitempty"` // Loads holds the statements that the asker lacks.
}

// Load is what one instance has running at targets.
type Load struct {
	Instance   string       `cbor:"1,keyasint"`
	Sequence   uint64       `cbor:"2,keyasint"` // Sequence grows with each statement of an instance.
	Targets    []TargetLoad `cbor:"3,keyasint,omitempty"`
	Runs       []RunPlace   `cbor:"4,keyasint,omitempty"` // Runs tells where its streams run.
	Spent      []Usage      `cbor:"5,keyasint,omitempty"` // Spent holds what it sent to each service lately.
	Lost       []DomainLoss `cbor:"6,keyasint,omitempty"` // Lost tells where it lost targets lately.
	Successors []Successor  `cbor:"7,keyasint,omitempty"` // Successors tells which targets it found at the addresses of others.
}

// Successor tells that an instance found a target at the address of another one of its service.
type Successor struct {
	Name    string        `cbor:"1,keyasint"`
	Of      string        `cbor:"2,keyasint"` // Of names the target that it follows, Started and Address are that one's.
	Started int64         `cbor:"3,keyasint"`
	Address string        `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"`
}

// DomainLoss tells how long ago an instance lost a target of a failure domain.
type DomainLoss struct {
	Domain string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Usage counts the requests and repeats of the last ten seconds to one service.
type Usage struct {
	Service  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	Repeats  int    `cbor:"3,keyasint"`
}

// RunPlace tells which target has read the prompt of a session.
type RunPlace struct {
	Session string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

// TargetLoad is an instance's part of one target's load.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	Flying int    `cbor:"2,keyasint"` // Flying counts the streams that run there.
	Tokens int    `cbor:"3,keyasint"` // Tokens counts the prompt tokens that are not read yet.
	Copies int    `cbor:"4,keyasint"` // Copies counts the copies of streams that are kept there.
}

// KindPage holds the changes of one kind up to a revision.
type KindPage struct {
	Kind    string         `cbor:"1,keyasint"`
	At      uint64         `cbor:"2,keyasint"`
	Objects []ConfigObject `cbor:"3,keyasint,omitempty"`
	Age     time.Duration  `cbor:"4,keyasint"` // Age is the time since the sender's copy was known to be the store's, by way of any instance.
}

// Failed answers a message that could not be handled.
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
