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
	flushPeriod  = 200 * time.Millisecond // flushPeriod is the time between two messages to a keeper, and the most that a copy lags.
	flushTimeout = time.Second
	cancelBound  = 2 * time.Second // cancelBound bounds the order to stop a generation.
	heldLife     = 5 * time.Minute // heldLife is how long a copy is held without news of it.
)

// Fleet gives the members among which keepers are chosen.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members.
	View() member.View
}

// Targets gives the addresses of engines.
type Targets interface {
	// Find returns a known target by name.
	Find(name string) (route.Candidate, bool)
}

// Settings configures the controller.
type Settings struct {
	Costly int           // Costly is the number of tokens from which a generation's text is copied.
	Linger time.Duration // Linger is how long an abandoned generation goes on, so that its caller may come back.
}

// Keep sends copies of this instance's generations and holds those of others.
type Keep struct {
	*wait.Loop
	settings Settings
	fleet    Fleet
	targets  Targets
	engines  engine.Client
	net      peer.Net
	records  sync.Map // records holds a *record for each request running here.
	copied   *metrics.Counter
	orphans  *metrics.Counter

	mu     sync.Mutex
	held   map[string]held
	closed []finished
}

// finished is a generation whose copy its keeper may forget.
type finished struct {
	request string
	keeper  string
}

// held is the copy of a peer's generation.
type held struct {
	log   wire.Log
	from  string
	heard time.Time
}

var _ relay.Journal = (*Keep)(nil)

// New returns a controller that copies and holds logs.
func New(s Settings, fleet Fleet, targets Targets, engines engine.Client, net peer.Net, set *metrics.Set) *Keep {
	k := &Keep{
		settings: s,
		fleet:    fleet,
		targets:  targets,
		engines:  engines,
		net:      net,
		held:     make(map[string]held),
		copied:   set.GetOrCreateCounter("bramleywharf_log_tokens_copied_total"),
		orphans:  set.GetOrCreateCounter("bramleywharf_generations_stopped_total"),
	}
	set.NewGauge("bramleywharf_logs_held", func() float64 { return float64(k.heldCount()) })
	k.Loop = wait.Start(k.loop)
	return k
}

// Adopt lets an instance go on with a generation that runs or is held here.
func (k *Keep) Adopt(a wire.Adopt) wire.Message {
	if r, ok := k.records.Load(a.Request); ok {
		return wire.Adopted{Found: true, Log: r.(*record).take()}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[a.Request]
	if !ok {
		return wire.Adopted{}
	}
	delete(k.held, a.Request)
	return wire.Adopted{Found: true, Log: h.log}
}

// Handle takes the news of a peer's generations.
func (k *Keep) Handle(m wire.Keep) wire.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	var answer wire.Kept
	for _, l := range m.Logs {
		if l.Done {
			if k.held[l.Request].from == m.From {
				delete(k.held, l.Request)
			}
			continue
		}
		h := k.held[l.Request]
		next, ok := merge(h.log, l)
		if !ok {
			answer.Unknown = append(answer.Unknown, l.Request)
			continue
		}
		k.held[l.Request] = held{log: next, from: m.From, heard: time.Now()}
	}
	return answer
}

// Open returns the record of a generation that this instance begins to run.
func (k *Keep) Open(spec flow.Spec, base int, texts []string) relay.Entry {
	r := newRecord(k, spec, base, texts)
	k.records.Store(spec.ID, r)
	return r
}

// Stop ends the controller; copies held here are lost.
func (k *Keep) Stop() {
	k.Loop.Close()
}

// choose returns the keeper of a request: a live member, of another failure domain if there is one.
func (k *Keep) choose(request string) string {
	self := k.fleet.Self()
	var near, far []string
	for _, p := range k.fleet.View().Open() {
		switch {
		case p.Name == self.Name:
		case p.Domain == self.Domain:
			near = append(near, p.Name)
		default:
			far = append(far, p.Name)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return ""
	}
	return route.Rank("keeper/"+request, far)[0]
}

// forget queues word to a keeper that a generation is finished.
func (k *Keep) forget(f finished) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = append(k.closed, f)
}

// heldCount returns the number of copies held.
func (k *Keep) heldCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held)
}

// merge adds news to a copy; it fails when something is missing between the two. News that names no attempt adds tokens alone.
func merge(old, news wire.Log) (wire.Log, bool) {
	next := news
	if news.AttemptID == "" {
		if old.AttemptID == "" {
			return old, false
		}
		next = old
	}
	if news.Prompt == "" {
		next.Prompt = old.Prompt
	}
	next.Offset, next.Tokens = old.Offset, old.Tokens
	at := news.Offset - old.Offset
	switch {
	case len(news.Tokens) == 0:
		return next, true
	case news.Prompt != "":
		next.Offset, next.Tokens = news.Offset, news.Tokens
		return next, true
	case len(old.Tokens) == 0 || at < 0 || at > len(old.Tokens):
		return old, false
	}
	next.Tokens = append(old.Tokens[:at:at], news.Tokens...)
	return next, true
}
