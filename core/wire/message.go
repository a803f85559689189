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
	// ConfigAge is the time since that revision was last confirmed to be current, by the platform or through any peer.
	ConfigAge time.Duration `cbor:"4,keyasint"`
	// ProbeAddress is a peer address that the receiver is to probe for the sender.
	ProbeAddress   string `cbor:"5,keyasint,omitempty"`
	WantAllMembers bool   `cbor:"6,keyasint,omitempty"` // WantAllMembers requests all live members in the response.
	Generations    int    `cbor:"7,keyasint,omitempty"` // Generations is how many the sender runs.
	Era            uint64 `cbor:"8,keyasint,omitempty"` // Era is the store's era that Revision belongs to.
}

// PullConfig requests the configuration objects that changed after a revision.
type PullConfig struct {
	After uint64 `cbor:"1,keyasint"`
}

// ConfigPage is the response to PullConfig, with all changes up to Revision.
type ConfigPage struct {
	Revision uint64   `cbor:"1,keyasint"`
	Objects  []Object `cbor:"2,keyasint,omitempty"`
}

// Object is one stored object; Value has the encoding of the store.
type Object struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Value    []byte `cbor:"5,keyasint,omitempty"`
}

// GenerationLog is the state of one generation, or an update of it. The instance that runs the generation, its origin,
// sends it to another instance, its backup, so that any instance can continue the generation when the origin has
// failed.
type GenerationLog struct {
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
	Done   bool     `cbor:"14,keyasint,omitempty"` // Done tells the backup to delete its copy.
}

// SaveLogs sends updates of generations to their backup.
type SaveLogs struct {
	From string          `cbor:"1,keyasint"`
	Logs []GenerationLog `cbor:"2,keyasint"`
}

// SaveLogsReply is the response to SaveLogs.
type SaveLogsReply struct {
	// MissingRequests lists requests whose earlier updates the backup lacks.
	MissingRequests []string `cbor:"1,keyasint,omitempty"`
}

// TakeOver asks the origin or the backup of a generation for its state, so that another instance can continue it. An
// origin that still runs the generation gives it up.
type TakeOver struct {
	Request string `cbor:"1,keyasint"`
	By      string `cbor:"2,keyasint"`
}

// TakeOverReply is the response to TakeOver; Found tells whether Log holds the generation.
type TakeOverReply struct {
	Found bool          `cbor:"1,keyasint"`
	Log   GenerationLog `cbor:"2,keyasint"`
}

// SlotDemand is what an instance needs of one organisation's slots, each of which allows one running request.
type SlotDemand struct {
	Organisation string `cbor:"1,keyasint"`
	Running      int    `cbor:"2,keyasint"` // Running is the number of slots in use.
	Held         int    `cbor:"4,keyasint"` // Held is the number of slots granted before and still valid.
	Wanted       int    `cbor:"3,keyasint"` // Wanted is the number of slots requested, including those in use.
}

// BorrowSlots requests slots of several organisations from their lender, the instance that divides an organisation's
// ceiling among all instances.
type BorrowSlots struct {
	From    string       `cbor:"1,keyasint"`
	Demands []SlotDemand `cbor:"2,keyasint"`
}

// SlotGrants is the response to BorrowSlots: the slots granted for each SlotDemand, in the same order. They are valid
// for TTL from when BorrowSlots was sent.
type SlotGrants struct {
	Slots []int         `cbor:"1,keyasint"`
	TTL   time.Duration `cbor:"2,keyasint"`
}

// RunKeyedCall asks the instance that issued a key to run a non-idempotent call, since it alone remembers whether the
// key has been used.
type RunKeyedCall struct {
	Key          string        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	Service      string        `cbor:"3,keyasint"`
	Method       string        `cbor:"4,keyasint"`
	Path         string        `cbor:"5,keyasint"`
	ContentType  string        `cbor:"6,keyasint,omitempty"`
	Body         []byte        `cbor:"7,keyasint,omitempty"`
	Timeout      time.Duration `cbor:"8,keyasint"` // Timeout is the time left until the caller's deadline.
}

// CallOutcome is the response to RunKeyedCall: the outcome of the call, or a refusal.
type CallOutcome struct {
	Status      int           `cbor:"1,keyasint,omitempty"`
	ContentType string        `cbor:"2,keyasint,omitempty"`
	Body        []byte        `cbor:"3,keyasint,omitempty"`
	Refusal     string        `cbor:"4,keyasint,omitempty"` // Refusal is the kind of the refusal, or empty.
	Detail      string        `cbor:"5,keyasint,omitempty"`
	Executed    string        `cbor:"6,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"7,keyasint,omitempty"`
}

// KnownRevision is the revision up to which the sender knows one kind of stored objects.
type KnownRevision struct {
	Kind     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Era      uint64 `cbor:"3,keyasint,omitempty"` // Era is the store's era that Revision belongs to.
}

// PullUpdates requests the objects of several kinds that changed after the revisions that the sender knows.
type PullUpdates struct {
	Revisions   []KnownRevision `cbor:"1,keyasint"`
	WantReports bool            `cbor:"4,keyasint,omitempty"` // WantReports requests load reports as well.
	OwnReport   LoadReport      `cbor:"2,keyasint,omitempty"` // OwnReport is the sender's report.
	// KnownReports lists the reports of other instances that the sender has.
	KnownReports []ReportVersion `cbor:"3,keyasint,omitempty"`
	LossDigest   uint64          `cbor:"5,keyasint,omitempty"` // LossDigest identifies the part losses that the sender has.
	Losses       []PartLosses    `cbor:"6,keyasint,omitempty"` // Losses holds them if the receiver may lack some.
	Crashes      []TargetCrash   `cbor:"7,keyasint,omitempty"` // Crashes holds recent crashes beside Losses.
}

// ReportVersion identifies the newest report of an instance's load that the sender has.
type ReportVersion struct {
	Instance string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Updates is the response to PullUpdates, with the changes of each kind.
type Updates struct {
	Kinds   []KindUpdates `cbor:"1,keyasint,omitempty"`
	Reports []LoadReport  `cbor:"2,keyasint,omitempty"` // Reports holds the reports that the requester lacks.
	// LossDigest identifies the part losses that the sender has.
	LossDigest uint64       `cbor:"3,keyasint,omitempty"`
	Losses     []PartLosses `cbor:"4,keyasint,omitempty"` // Losses holds them if the requester's digest differs.
	// Crashes holds recent crashes beside Losses.
	Crashes []TargetCrash `cbor:"5,keyasint,omitempty"`
}

// TargetCrash is the crash of a target; the hashes are those of PartLoss and of the target's failure domain.
type TargetCrash struct {
	Target  uint64        `cbor:"1,keyasint"`
	Request uint64        `cbor:"2,keyasint"`
	Domain  uint64        `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint"`
}

// PartLosses holds the crashes of targets at the begin of their answers to requests with one part in their prompts.
type PartLosses struct {
	Part   string     `cbor:"1,keyasint"`
	Losses []PartLoss `cbor:"2,keyasint"`
}

// PartLoss is one of these losses; hashes of the target's name and of the request's id identify it.
type PartLoss struct {
	Target  uint64        `cbor:"1,keyasint"`
	Request uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	Excused bool          `cbor:"4,keyasint,omitempty"` // Excused tells that a request with the part was answered since.
	Domain  uint64        `cbor:"5,keyasint,omitempty"` // Domain is a hash of the target's failure domain.
}

// LoadReport is an instance's report of what it has running at targets.
type LoadReport struct {
	Instance string          `cbor:"1,keyasint"`
	Sequence uint64          `cbor:"2,keyasint"` // Sequence increases with each report of an instance.
	Targets  []TargetLoad    `cbor:"3,keyasint,omitempty"`
	Sessions []SessionTarget `cbor:"4,keyasint,omitempty"` // Sessions holds the targets of its sessions.
	Usage    []Usage         `cbor:"5,keyasint,omitempty"` // Usage counts its recent requests to each service.
	// DomainLosses holds the failure domains in which it recently lost targets.
	DomainLosses []DomainLoss `cbor:"6,keyasint,omitempty"`
	// Successors holds the targets that it found at addresses of others. Under key 7, earlier builds sent targets that may
	// belong to other services.
	Successors []Successor `cbor:"9,keyasint,omitempty"`
	// Rollouts holds what it has seen of the versions of services whose traffic is being moved.
	Rollouts []Rollout     `cbor:"8,keyasint,omitempty"`
	Age      time.Duration `cbor:"12,keyasint,omitempty"` // Age is how long instances that passed the report on held it.
}

// Rollout is what an instance has seen of the versions of one service since a roll-out order.
type Rollout struct {
	Service string         `cbor:"1,keyasint"`
	Order   uint64         `cbor:"2,keyasint"` // Order is the revision at which the order was accepted.
	Tallies []RolloutTally `cbor:"3,keyasint,omitempty"`
	Start   uint64         `cbor:"4,keyasint,omitempty"` // Start differs between two starts of an instance.
	Elapsed time.Duration  `cbor:"5,keyasint,omitempty"` // Elapsed is the time since the order as the instance knows it.
}

// RolloutTally counts the requests to one version of a service on one route in one failure domain.
type RolloutTally struct {
	Version   string  `cbor:"1,keyasint,omitempty"`
	Route     string  `cbor:"2,keyasint,omitempty"`
	Domain    string  `cbor:"3,keyasint,omitempty"`
	Sent      int     `cbor:"4,keyasint,omitempty"`
	Responses int     `cbor:"5,keyasint,omitempty"` // Responses includes Failures.
	Failures  int     `cbor:"6,keyasint,omitempty"`
	Timed     int     `cbor:"7,keyasint,omitempty"`  // Timed counts the latencies in LogSum.
	LogSum    float64 `cbor:"8,keyasint,omitempty"`  // LogSum is the sum of the logarithms of latencies in ms.
	LogSquare float64 `cbor:"9,keyasint,omitempty"`  // LogSquare is the sum of their squares.
	Tokens    int     `cbor:"10,keyasint,omitempty"` // Tokens is the sum of the prompt tokens of the requests sent.
}

// Successor is a target that an instance found at the address of another target of the same service, before the
// platform listed it.
type Successor struct {
	Name               string        `cbor:"1,keyasint"`
	Predecessor        string        `cbor:"2,keyasint"` // Predecessor is the target that it replaces.
	PredecessorStartID int64         `cbor:"3,keyasint"`
	PredecessorAddress string        `cbor:"4,keyasint"`
	Age                time.Duration `cbor:"5,keyasint"` // Age is the time since it was found.
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
	Retries  int    `cbor:"3,keyasint"`
}

// SessionTarget is the target that last processed the prompt of a session, and so has it in its cache.
type SessionTarget struct {
	Session string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

// TargetLoad is the load that one instance puts on one target.
type TargetLoad struct {
	Target              string `cbor:"1,keyasint"`
	Streams             int    `cbor:"2,keyasint"` // Streams is the number of running streams.
	PendingPromptTokens int    `cbor:"3,keyasint"` // PendingPromptTokens is how many tokens are not processed yet.
	Replicas            int    `cbor:"4,keyasint"` // Replicas is the number of replicas of prompt memory kept there.
}

// KindUpdates holds the changes of one kind up to Revision.
type KindUpdates struct {
	Kind     string   `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Objects  []Object `cbor:"3,keyasint,omitempty"`
	// Age is the time since the sender's copy was last confirmed to be current, by the store or through any instance.
	Age time.Duration `cbor:"4,keyasint"`
	// Complete tells that all objects that exist are in Objects or Unchanged, since the sender lacks deletions.
	Complete  bool     `cbor:"5,keyasint,omitempty"`
	Unchanged []string `cbor:"6,keyasint,omitempty"` // Unchanged holds names.
	Era       uint64   `cbor:"7,keyasint,omitempty"` // Era is the store's era that all revisions belong to.
	Baseline  uint64   `cbor:"8,keyasint,omitempty"` // Baseline is the lowest known revision of a list of the era.
}

// Failure is the response to a message that could not be handled.
type Failure struct {
	Reason string `cbor:"1,keyasint"`
}

func (Gossip) isMessage()        {}
func (PullConfig) isMessage()    {}
func (ConfigPage) isMessage()    {}
func (SaveLogs) isMessage()      {}
func (SaveLogsReply) isMessage() {}
func (TakeOver) isMessage()      {}
func (TakeOverReply) isMessage() {}
func (BorrowSlots) isMessage()   {}
func (SlotGrants) isMessage()    {}
func (RunKeyedCall) isMessage()  {}
func (CallOutcome) isMessage()   {}
func (PullUpdates) isMessage()   {}
func (Updates) isMessage()       {}
func (Failure) isMessage()       {}
