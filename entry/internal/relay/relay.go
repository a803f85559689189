package relay

import (
	"context"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/token"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
)

const (
	heartbeat    = time.Second            // heartbeat is the longest silence towards a caller, so that one may give a connection up in time for the 3 s resume bound.
	probeTimeout = 300 * time.Millisecond // probeTimeout bounds a probe on a fresh connection.
	cancelBound  = 2 * time.Second        // cancelBound bounds the order to stop a generation.
	pickPause    = 100 * time.Millisecond // pickPause is the wait before targets are looked at again.
	pickPatience = 2 * time.Second        // pickPatience bounds the wait for a target, within the 3 s resume bound.
)

// Picker chooses targets and counts the generations that this instance runs there.
type Picker interface {
	// Find returns a known target by name.
	Find(name string) (route.Candidate, bool)
	// Hold counts one generation on a target until release is called.
	Hold(name string) (release func())
	// Pick chooses a target for a generation, or returns false.
	Pick(spec flow.Spec, avoid map[string]bool) (route.Candidate, bool)
	// Suspect reports that a target failed.
	Suspect(name string)
}

// Journal keeps copies of generations elsewhere and stops abandoned ones.
type Journal interface {
	// Open returns the entry of a generation that this instance begins to run, with the tokens known from an offset on.
	Open(spec flow.Spec, base int, texts []string) Entry
}

// Entry is one generation's place in the journal.
type Entry interface {
	// Abandon stops an attempt some time after its caller left, unless another owner goes on with it.
	Abandon(target, id string)
	// Close forgets the finished generation.
	Close()
	// Keeper returns the peer that holds the copy of the generation, or an empty name.
	Keeper() string
	// Note records a token of the answer.
	Note(p Progress)
	// Taken returns a channel that closes when another owner goes on with the generation.
	Taken() <-chan struct{}
}

// Progress is one token of the answer and the attempt that it came from.
type Progress struct {
	Target    string
	Attempt   int
	AttemptID string
	Token     flow.Token
}

// Job is one generation to run or go on with.
type Job struct {
	Spec   flow.Spec
	Policy flow.Policy
	Cursor token.Cursor // Cursor is where to go on; its Attempt is 0 for a new generation.
	Base   int          // Base is the offset of the first of Texts.
	Texts  []string     // Texts holds what is known of the answer so far.
	Held   func()       // Held is called when a target is held first, or is nil.
	Prompt bool         // Prompt tells whether Spec holds the prompt, without which nothing can be continued elsewhere.
}

// Relay runs generations.
type Relay struct {
	engines engine.Client
	picker  Picker
	journal Journal
	sealer  *token.Sealer
	counts  counts
}

// counts holds the metrics of all generations.
type counts struct {
	tokens      *metrics.Counter
	dropped     *metrics.Counter
	faults      *metrics.Counter
	recovered   *metrics.Counter
	attached    *metrics.Counter
	abandoned   *metrics.Counter
	running     *metrics.Gauge
	resume      *metrics.Histogram
	first       *metrics.Histogram
	divergences *metrics.Counter
}

// New returns a relay over its borders.
func New(engines engine.Client, picker Picker, journal Journal, sealer *token.Sealer, set *metrics.Set) *Relay {
	return &Relay{
		engines: engines,
		picker:  picker,
		journal: journal,
		sealer:  sealer,
		counts: counts{
			tokens:      set.GetOrCreateCounter("bramleywharf_tokens_relayed_total"),
			dropped:     set.GetOrCreateCounter("bramleywharf_tokens_dropped_total"),
			faults:      set.GetOrCreateCounter("bramleywharf_token_faults_total"),
			recovered:   set.GetOrCreateCounter("bramleywharf_generations_continued_total"),
			attached:    set.GetOrCreateCounter("bramleywharf_generations_attached_total"),
			abandoned:   set.GetOrCreateCounter("bramleywharf_generations_lost_total"),
			running:     set.GetOrCreateGauge("bramleywharf_generations_running", nil),
			resume:      set.GetOrCreateHistogram("bramleywharf_resume_seconds"),
			first:       set.GetOrCreateHistogram("bramleywharf_first_token_seconds"),
			divergences: set.GetOrCreateCounter("bramleywharf_generations_diverged_total"),
		},
	}
}

// Run runs a generation until its end, a refusal or the caller's leaving.
func (r *Relay) Run(ctx context.Context, j Job, sink chain.Sink) chain.Answer {
	r.counts.running.Inc()
	defer r.counts.running.Dec()
	g := newRun(r, j, sink)
	defer g.close()
	return g.loop(ctx)
}
