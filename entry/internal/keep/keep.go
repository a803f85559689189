package keep

import (
	"sync"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/engine"
	"bramleywharf.example/entry/internal/relay"
	"github.com/VictoriaMetrics/metrics"
)

const (
	flushInterval = 200 * time.Millisecond // flushInterval is between updates to a keeper and bounds the replication lag.
	flushTimeout  = time.Second
	cancelTimeout = 2 * time.Second // cancelTimeout bounds the request that cancels a generation at its engine.
	replicaLife   = 5 * time.Minute // replicaLife is how long a replica is held after its last update.
)

// Fleet gives access to the members, among which keepers are chosen.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members as this instance knows them.
	View() member.View
}

// Targets finds engines.
type Targets interface {
	// Find returns a known target by name.
	Find(name string) (route.Candidate, bool)
}

// Settings configures the controller.
type Settings struct {
	Costly int           // Costly is the number of tokens from which a generation's prompt and tokens are replicated.
	Linger time.Duration // Linger is how long an abandoned generation keeps running, so that its caller can resume it.
}

// Keep replicates this instance's generations to their keepers and holds replicas of the generations of peers.
type Keep struct {
	*wait.Loop
	settings           Settings
	fleet              Fleet
	targets            Targets
	engines            engine.Client
	peers              peer.Client
	generations        sync.Map // generations maps request ids to a *generation for each generation of this instance.
	replicatedTokens   *metrics.Counter
	stoppedGenerations *metrics.Counter

	mu       sync.Mutex
	replicas map[string]replica
	finished []finishedGeneration
}

// finishedGeneration is a generation whose replica its keeper may delete.
type finishedGeneration struct {
	request string
	keeper  string
}

// replica is the log of a peer's generation, for which this instance is the keeper.
type replica struct {
	log       wire.GenerationLog
	origin    string
	updatedAt time.Time
}

var _ relay.Journal = (*Keep)(nil)

// New returns a running controller.
func New(s Settings, fleet Fleet, targets Targets, engines engine.Client, peers peer.Client, set *metrics.Set) *Keep {
	k := &Keep{
		settings:           s,
		fleet:              fleet,
		targets:            targets,
		engines:            engines,
		peers:              peers,
		replicas:           make(map[string]replica),
		replicatedTokens:   set.GetOrCreateCounter("bramleywharf_log_tokens_copied_total"),
		stoppedGenerations: set.GetOrCreateCounter("bramleywharf_generations_stopped_total"),
	}
	set.NewGauge("bramleywharf_logs_held", func() float64 { return float64(k.replicaCount()) })
	k.Loop = wait.Start(k.loop)
	return k
}

// Adopt hands a generation that runs here or of which a replica is held here over to a peer that continues it.
func (k *Keep) Adopt(a wire.TakeOver) wire.Message {
	if g, ok := k.generations.Load(a.Request); ok {
		return wire.TakeOverReply{Found: true, Log: g.(*generation).adopt()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held, ok := k.replicas[a.Request]
	if !ok {
		return wire.TakeOverReply{}
	}
	delete(k.replicas, a.Request)
	return wire.TakeOverReply{Found: true, Log: held.log}
}

// Handle applies a peer's updates to the replicas of its generations.
func (k *Keep) Handle(m wire.SaveLogs) wire.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	var answer wire.SaveLogsReply
	for _, update := range m.Logs {
		if update.Done {
			if k.replicas[update.Request].origin == m.From {
				delete(k.replicas, update.Request)
			}
			continue
		}
		held := k.replicas[update.Request]
		merged, ok := mergeLog(held.log, update)
		if !ok {
			answer.MissingRequests = append(answer.MissingRequests, update.Request)
			continue
		}
		k.replicas[update.Request] = replica{log: merged, origin: m.From, updatedAt: time.Now()}
	}
	return answer
}

// Open returns the journal entry of a generation that this instance begins to run; texts are the tokens that are known
// from firstOffset on.
func (k *Keep) Open(spec flow.Spec, firstOffset int, texts []string) relay.Entry {
	g := newGeneration(k, spec, firstOffset, texts)
	k.generations.Store(spec.ID, g)
	return g
}

// Stop ends the controller; the replicas held here are lost.
func (k *Keep) Stop() {
	k.Loop.Close()
}

// chooseKeeper returns the keeper of a request: a live member, in another failure domain if there is one, or an empty
// name.
func (k *Keep) chooseKeeper(request string) string {
	self := k.fleet.Self()
	var sameDomain, candidates []string
	for _, p := range k.fleet.View().Available() {
		switch {
		case p.Name == self.Name:
		case p.Domain == self.Domain:
			sameDomain = append(sameDomain, p.Name)
		default:
			candidates = append(candidates, p.Name)
		}
	}
	if len(candidates) == 0 {
		candidates = sameDomain
	}
	if len(candidates) == 0 {
		return ""
	}
	return route.Rank("keeper/"+request, candidates)[0]
}

// queueFinished queues a finished generation, of which the next flush informs its keeper.
func (k *Keep) queueFinished(f finishedGeneration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finished = append(k.finished, f)
}

// replicaCount returns the number of replicas held.
func (k *Keep) replicaCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.replicas)
}

// mergeLog applies an update to a replica; it fails when tokens are missing between the two. An update without an
// attempt id only adds tokens.
func mergeLog(old, update wire.GenerationLog) (wire.GenerationLog, bool) {
	merged := update
	if update.AttemptID == "" {
		if old.AttemptID == "" {
			return old, false
		}
		merged = old
	}
	if update.Prompt == "" {
		merged.Prompt = old.Prompt
	}
	merged.Offset, merged.Tokens = old.Offset, old.Tokens
	kept := update.Offset - old.Offset
	switch {
	case len(update.Tokens) == 0:
		return merged, true
	case update.Prompt != "":
		merged.Offset, merged.Tokens = update.Offset, update.Tokens
		return merged, true
	case len(old.Tokens) == 0 || kept < 0 || kept > len(old.Tokens):
		return old, false
	}
	merged.Tokens = append(old.Tokens[:kept:kept], update.Tokens...)
	return merged, true
}
