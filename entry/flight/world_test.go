package flight

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"bramleywharf.example/entry/stop"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

const (
	testService = "s"
	testSession = "session"
	eventTotal  = 8                     // eventTotal is the number of events of each stream.
	eventPace   = 20 * time.Millisecond // eventPace is the time between two events.
	waitTimeout = 10 * time.Second      // waitTimeout bounds each wait of a test.
	echoHeader  = "Echo-Id"             // echoHeader is the header in which targets repeat a request's id.

	queuedReport = "queued " // queuedReport begins the report of a target in whose queue requests wait.
	oldReport    = "old"     // oldReport is a report from before the request arrived.
)

// behaviour says how a target answers. Channels that are nil let it go on at once.
type behaviour struct {
	refuses     bool
	refuseAfter time.Duration   // refuseAfter is the time after which a refusal is sent; refuses has none.
	breakAfter  time.Duration   // breakAfter is the time after which the connection is closed without an answer, or 0.
	begin       <-chan struct{} // begin is waited for before the first event.
	haltAt      int             // haltAt is the event after which resume is waited for, or 0.
	resume      <-chan struct{}
	crash       <-chan struct{} // crash is waited for after the head; the target then ends. Nil lets it run on.
	queued      bool            // queued makes the target report that requests wait.
	stuck       bool            // stuck is queued without progress.
	unheard     bool            // unheard leaves the target's reports without an answer.
	old         bool            // old makes the target's reports older than its requests.
}

// run is what a target has seen of a stream that it ran.
type run struct {
	target string
	left   bool // left tells that the connection was closed before the last event.
}

// world is a sender with targets on loopback.
type world struct {
	c       *quicktest.C
	sender  *send.Sender
	targets []site.Target
	servers map[string]*httptest.Server

	maxAttempts int  // maxAttempts is that of the route, or 0 for 5.
	alone       bool // alone tells that no other instance takes callers.
	atMostOnce  bool // atMostOnce tells that streams may not be resumed.

	mu         sync.Mutex
	behaviours map[string]behaviour
	runs       []*run
	refusals   map[string]int // refusals counts the refused streams by target.
}

// Changed returns a channel that never closes.
func (w *world) Changed() <-chan struct{} { return nil }

// Grace tells that missing targets are gone.
func (w *world) Grace() time.Duration { return 0 }

// Targets returns the targets, which never change.
func (w *world) Targets() []site.Target { return w.targets }

// newWorld returns a world of sound targets.
func newWorld(t *testing.T, names ...string) *world {
	w := &world{c: quicktest.New(t), behaviours: make(map[string]behaviour), refusals: make(map[string]int), servers: make(map[string]*httptest.Server)}
	for i, name := range names {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(name, rw, r) }))
		w.servers[name] = server
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		w.targets = append(w.targets, site.Target{Name: name, Service: testService, Address: server.Listener.Addr().String(), Domain: name, Revision: uint64(i + 1)})
	}
	logger, set := &log.Logger{Handler: discard.New()}, metrics.NewSet()
	targetLink := link.New(link.Settings{EchoHeader: echoHeader}, set)
	t.Cleanup(targetLink.Close)
	targetPicker := picker.New(w, func(string) {}, logger, set)
	t.Cleanup(targetPicker.Close)
	targetPicker.Name("self", 1)
	bound := retry.Bound{Slack: 100}
	w.sender = send.New(send.Settings{
		Retries: func() retry.Bound { return bound },
		Fleet:   func() retry.Bound { return bound },
		Size:    func() int { return 1 },

		AddressReuse: func() time.Duration { return 0 },

		Blocks: block.New(logger, set),
		Stop:   stop.New(stop.Settings{Grace: func() time.Duration { return stopPeriod }, Elsewhere: func() bool { return !w.alone }}),
	}, targetLink, targetPicker, plainDialect{}, logger, set)
	w.waitUntil(func() bool { return targetPicker.HasSound(picker.Want{Service: testService}) })
	return w
}

// behave sets the behaviour of a target in later requests.
func (w *world) behave(name string, b behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviours[name] = b
}

// serve answers a request to a target.
func (w *world) serve(name string, rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(echoHeader, r.Header.Get(echoHeader))
	w.mu.Lock()
	b := w.behaviours[name]
	if r.Header.Get(echoHeader) == "" {
		w.mu.Unlock()
		b.writeReport(rw, r)
		return
	}
	if b.refuses || b.refuseAfter > 0 {
		w.refusals[name]++
		w.mu.Unlock()
		time.Sleep(b.refuseAfter)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current := &run{target: name}
	w.runs = append(w.runs, current)
	w.mu.Unlock()
	if !b.writeEvents(rw, r) {
		w.mu.Lock()
		current.left = true
		w.mu.Unlock()
	}
}

// writeReport writes the target's report.
func (b behaviour) writeReport(rw http.ResponseWriter, r *http.Request) {
	if b.unheard {
		<-r.Context().Done()
	}
	switch {
	case b.queued:
		_, _ = fmt.Fprint(rw, queuedReport, time.Now().UnixNano())
	case b.stuck:
		_, _ = fmt.Fprint(rw, queuedReport, 0)
	case b.old:
		_, _ = fmt.Fprint(rw, oldReport)
	}
}

// writeEvents writes the events after the last one that the caller has, and reports whether it has written all.
func (b behaviour) writeEvents(rw http.ResponseWriter, r *http.Request) bool {
	if b.begin != nil && !isClosedFor(r, b.begin) {
		return false
	}
	if b.breakAfter > 0 {
		time.Sleep(b.breakAfter)
		panic(http.ErrAbortHandler)
	}
	if b.crash != nil {
		_ = http.NewResponseController(rw).Flush()
		if !isClosedFor(r, b.crash) {
			return false
		}
		_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
		panic(http.ErrAbortHandler)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= eventTotal; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(rw).Flush()
		if i == b.haltAt && !isClosedFor(r, b.resume) {
			return false
		}
		select {
		case <-time.After(eventPace):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// isClosedFor waits for a channel to close, and returns false if the request's connection is closed before.
func isClosedFor(r *http.Request, c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-r.Context().Done():
		return false
	}
}

// seen returns the runs in the order in which they began.
func (w *world) seen() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []run
	for _, r := range w.runs {
		runs = append(runs, *r)
	}
	return runs
}

// refused returns how often a target refused a stream.
func (w *world) refused(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusals[name]
}

// others returns the names of all targets but one.
func (w *world) others(name string) []string {
	var others []string
	for _, target := range w.targets {
		if target.Name != name {
			others = append(others, target.Name)
		}
	}
	return others
}

// isSound reports whether the sender takes a target for sound.
func (w *world) isSound(name string) bool {
	return slices.ContainsFunc(w.targets, func(t site.Target) bool { return t.Name == name && w.sender.Picker.IsSound(t) })
}

// waitUntil waits for a condition, and fails the test after waitTimeout.
func (w *world) waitUntil(condition func() bool) {
	w.c.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		w.c.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("condition did not become true"))
	}
}

// start runs a stream for a caller and returns the target that runs it first, and a channel that gets the answer.
func (w *world) start(ctx context.Context, caller *caller) (string, <-chan chain.Answer) {
	answers := w.launch(ctx, caller)
	w.waitUntil(func() bool { return len(w.seen()) > 0 })
	return w.seen()[0].target, answers
}

// launch runs a stream for a caller and returns a channel that gets the answer.
func (w *world) launch(ctx context.Context, caller *caller) <-chan chain.Answer {
	answers := make(chan chain.Answer, 1)
	policy := site.Stream{Resumable: !w.atMostOnce}
	call := chain.Call{ID: "r1"}.WithRoute(site.NewConfig("1", 1, site.Limits{}), site.Route{RetryPolicy: policy, MaxAttempts: cmp.Or(w.maxAttempts, 5), Services: []site.WeightedService{{Service: testService, Weight: 1}}})
	now := time.Now()
	forward := chain.Forward{Method: http.MethodPost, Host: "host", Path: "/x", Deadline: now.Add(waitTimeout), Received: now, Prompt: chain.Prompt{{ID: "shared", Tokens: 10}, {ID: testSession, Tokens: 10}}, Outlet: caller}
	go func() { answers <- Run(ctx, w.sender, call, forward, policy) }()
	return answers
}

// assertWhole checks that the stream was complete and its caller got each event once.
func (w *world) assertWhole(answer chain.Answer, caller *caller) {
	w.c.Helper()
	finished, ok := answer.(chain.Finished)
	w.c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%#v", answer))
	w.c.Assert(finished.Events, quicktest.Equals, eventTotal)
	var want strings.Builder
	for i := range eventTotal {
		fmt.Fprintf(&want, "id: %d\ndata: x\n\n", i+1)
	}
	w.c.Assert(caller.body.String(), quicktest.Equals, want.String())
}

// caller takes events, and may be slow to do so.
type caller struct {
	body   strings.Builder
	delay  time.Duration // delay is the time that the caller takes for each event.
	slowAt int           // slowAt is the event that the caller takes when resume is closed, or 0.
	resume <-chan struct{}
	count  int
}

// Begin ignores the head.
func (c *caller) Begin(chain.Head) error { return nil }

// Event takes an event.
func (c *caller) Abort() {}

func (c *caller) Event(raw []byte) error {
	c.count++
	if c.count == c.slowAt {
		<-c.resume
	}
	time.Sleep(c.delay)
	c.body.Write(raw)
	return nil
}

// plainDialect is a dialect of targets that keep no replicas and make no reports.
type plainDialect struct{}

// Header returns the id of the request, and the last event that the caller has.
func (plainDialect) Header(s send.Send) map[string][]string {
	return map[string][]string{echoHeader: {s.Call.ID}, "Last-Event-Id": {s.After}}
}

// Copy returns an empty request.
func (plainDialect) Copy(_ chain.Call, runner, _ site.Target) link.Request {
	return link.Request{Address: runner.Address}
}

// Copied reports that there is no replica.
func (plainDialect) Copied(int, []byte) (string, bool) { return "", false }

// Ask returns a request to which the answer is a report.
func (plainDialect) Ask(target site.Target) link.Request {
	return link.Request{Address: target.Address, Host: "host", Method: http.MethodGet, Path: "/"}
}

// Progress reports that the target has the request, in its queue if the report says so.
func (plainDialect) Progress(_ string, body []byte) (send.Progress, error) {
	if events, ok := strings.CutPrefix(string(body), queuedReport); ok {
		total, err := strconv.Atoi(events)
		return send.Progress{Unnamed: 1, Waiting: 1, Total: total}, err
	}
	if string(body) == oldReport {
		return send.Progress{}, nil
	}
	return send.Progress{Listed: true}, nil
}

func (plainDialect) StartID([]byte) int64 { return 0 }

// RetryAfter tells that targets refuse requests one at a time.
func (plainDialect) RetryAfter(int, map[string][]string) time.Duration { return 0 }

// IsLeaving tells that no target leaves.
func (plainDialect) IsLeaving(map[string][]string) bool { return false }

// Drop returns an empty request.
func (plainDialect) Drop(s send.Source) link.Request { return link.Request{Address: s.Address} }

// Judge takes the status of refusals as proof.
func (plainDialect) Judge(status int, _ map[string][]string) send.Verdict {
	if status == http.StatusServiceUnavailable {
		return send.NotRun{}
	}
	return send.Signed{}
}

// Response passes all headers on.
func (plainDialect) Response(header map[string][]string) chain.Header { return header }
