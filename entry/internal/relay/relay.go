package relay

import (
	"context"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// heartbeatInterval lets a caller notice a broken connection in time for the 3 s resume bound.
	heartbeatInterval = time.Second
	probeTimeout      = 300 * time.Millisecond
	cancelTimeout     = 2 * time.Second
	pickRetryDelay    = 100 * time.Millisecond // pickRetryDelay is the delay before another try to pick a target.
	pickTimeout       = 2 * time.Second        // pickTimeout bounds the tries, within the 3 s resume bound.
)

// Picker chooses targets and counts the generations that this instance runs on each.
type Picker interface {
	// Find returns a known target by name.
	Find(name string) (route.Candidate, bool)
	// Hold counts one generation on a target until release is called.
	Hold(name string) (release func())
	// Pick chooses a target outside avoided for a generation; it returns false if there is none.
	Pick(spec flow.Spec, avoided map[string]bool) (route.Candidate, bool)
	// Suspect reports that a target failed.
	Suspect(name string)
}

// Journal replicates the progress of generations to other instances and stops abandoned generations.
type Journal interface {
	// Open returns the entry of a generation that this instance begins to run; texts are its known tokens from
	// textsOffset on.
	Open(spec flow.Spec, textsOffset int, texts []string) Entry
}

// Entry is the journal entry of one generation.
type Entry interface {
	// Abandon stops an attempt some time after its caller left, unless another run takes the generation over.
	Abandon(target, attemptID string)
	// Close removes the entry and its replica.
	Close()
	// Keeper returns the name of the peer that holds the replica, or an empty string.
	Keeper() string
	// Note records a token of the answer.
	Note(p Progress)
	// Taken returns a channel that is closed when another run takes the generation over.
	Taken() <-chan struct{}
}

// Progress is a token of the answer and the attempt that produced it.
type Progress struct {
	Target    string
	Attempt   int
	AttemptID string
	Token     flow.Token
}

// Job is a generation to run or to resume.
type Job struct {
	Spec   flow.Spec
	Policy flow.Policy
	Cursor cursor.Cursor // Cursor is the position to resume from; its Attempt is 0 for a new generation.
	Base   int           // Base is the offset of the first of Texts.
	Texts  []string      // Texts holds the known tokens of the answer.
	Held   func()        // Held, unless nil, is called each time a target is held for an attempt.
	Prompt bool          // Prompt tells whether Spec holds the prompt, which a continuation on another engine needs.
}

// Relay runs generations; it is safe for concurrent use.
type Relay struct {
	engines engine.Client
	picker  Picker
	journal Journal
	sealer  *cursor.Sealer
	stats   stats
}

// stats holds the metrics that all generations update.
type stats struct {
	tokensRelayed        *metrics.Counter
	tokensDropped        *metrics.Counter
	tokenFaults          *metrics.Counter
	generationsContinued *metrics.Counter
	generationsAttached  *metrics.Counter
	generationsLost      *metrics.Counter
	generationsRunning   *metrics.Gauge
	resumeSeconds        *metrics.Histogram
	firstTokenSeconds    *metrics.Histogram
	generationsDiverged  *metrics.Counter
}

// New returns a relay that runs generations on the engines and registers its metrics in the set.
func New(engines engine.Client, picker Picker, journal Journal, sealer *cursor.Sealer, set *metrics.Set) *Relay {
	return &Relay{
		engines: engines,
		picker:  picker,
		journal: journal,
		sealer:  sealer,
		stats: stats{
			tokensRelayed:        set.GetOrCreateCounter("bramleywharf_tokens_relayed_total"),
			tokensDropped:        set.GetOrCreateCounter("bramleywharf_tokens_dropped_total"),
			tokenFaults:          set.GetOrCreateCounter("bramleywharf_token_faults_total"),
			generationsContinued: set.GetOrCreateCounter("bramleywharf_generations_continued_total"),
			generationsAttached:  set.GetOrCreateCounter("bramleywharf_generations_attached_total"),
			generationsLost:      set.GetOrCreateCounter("bramleywharf_generations_lost_total"),
			generationsRunning:   set.GetOrCreateGauge("bramleywharf_generations_running", nil),
			resumeSeconds:        set.GetOrCreateHistogram("bramleywharf_resume_seconds"),
			firstTokenSeconds:    set.GetOrCreateHistogram("bramleywharf_first_token_seconds"),
			generationsDiverged:  set.GetOrCreateCounter("bramleywharf_generations_diverged_total"),
		},
	}
}

// Run runs a generation until it ends or is refused, its caller leaves, or another run takes it over.
func (r *Relay) Run(ctx context.Context, j Job, sink chain.Sink) chain.Answer {
	r.stats.generationsRunning.Inc()
	defer r.stats.generationsRunning.Dec()
	g := newGeneration(r, j, sink)
	defer g.close()
	return g.loop(ctx)
}
