package pass

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"bramleywharf.example/entry/shift"
	"bramleywharf.example/entry/stop"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

const echoHeader = "Echo-Id"

// plainDialect is the part of a dialect that unary calls use. It takes the status 503 as a proof that the request was not
// run.
type plainDialect struct{ send.Dialect }

func (plainDialect) Header(s send.Send) map[string][]string {
	return map[string][]string{echoHeader: {s.Call.ID}}
}
func (plainDialect) IsLeaving(map[string][]string) bool                { return false }
func (plainDialect) RetryAfter(int, map[string][]string) time.Duration { return 0 }
func (plainDialect) Judge(status int, _ map[string][]string) send.Verdict {
	if status == http.StatusServiceUnavailable {
		return send.NotRun{}
	}
	return send.Signed{}
}
func (plainDialect) Response(header map[string][]string) chain.Header { return header }

// rollout is the store's side of a roll-out to v2 that runs, and the declared targets, which have v1.
type rollout []site.Target

func (rollout) Changed() <-chan struct{} { return nil }
func (rollout) Grace() time.Duration     { return 0 }
func (rollout) Age() time.Duration       { return 0 }
func (rollout) Orders() []canary.Order {
	return []canary.Order{{Service: "s", To: "v2", Duration: time.Hour, Revision: 1, Status: canary.Status{State: canary.Running, To: "v2"}}}
}
func (rollout) States() []canary.State {
	return []canary.State{{Service: "s", To: "v2", Order: 1, Duration: time.Hour, Phase: canary.Running, Share: 0.08, Revision: 2}}
}
func (rollout) Load(context.Context, string) (canary.State, bool, error) {
	return canary.State{}, false, nil
}
func (rollout) Save(context.Context, canary.State) (uint64, error)        { return 0, shift.ErrConflict }
func (rollout) Report(context.Context, canary.Order, canary.Status) error { return nil }
func (rollout) Rollouts() map[string][]wire.Rollout                       { return nil }
func (r rollout) Declared() []site.Target                                 { return r }
func (r rollout) Targets() []site.Target                                  { return r }
func (rollout) IsSound(site.Target) bool                                  { return true }
func (rollout) Running(string) int                                        { return 0 }

// TestAttemptsAreRecorded guards against evidence that blames a version for what it has no part in, or misses its faults.
func TestAttemptsAreRecorded(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		policy  site.RetryPolicy
		handler http.HandlerFunc // handler answers the first request; later ones get 200.
		want    wire.RolloutTally
	}{
		"answers":               {site.AtMostOnce{}, status(200), wire.RolloutTally{Sent: 1, Responses: 1, Timed: 1}},
		"refuses-404":           {site.AtMostOnce{}, status(404), wire.RolloutTally{Sent: 1, Responses: 1, Timed: 1}},
		"fails":                 {site.AtMostOnce{}, status(500), wire.RolloutTally{Sent: 1, Responses: 1, Failures: 1}},
		"fails-and-is-repeated": {site.Idempotent{}, status(500), wire.RolloutTally{Sent: 2, Responses: 2, Failures: 1, Timed: 1}},
		"does-not-run":          {site.AtMostOnce{}, status(503), wire.RolloutTally{Sent: 2, Responses: 1, Timed: 1}},
		"breaks-off":            {site.AtMostOnce{}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, wire.RolloutTally{Sent: 1, Responses: 1, Failures: 1}},
		"is-slow": {site.Idempotent{}, func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(5 * time.Second):
			}
		}, wire.RolloutTally{Sent: 2, Responses: 2, Timed: 2}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			var requests atomic.Int64
			var targets rollout
			for _, target := range []string{"a", "b"} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(echoHeader, r.Header.Get(echoHeader))
					if requests.Add(1) == 1 {
						test.handler(w, r)
					}
				}))
				t.Cleanup(server.Close)
				t.Cleanup(server.CloseClientConnections)
				targets = append(targets, site.Target{Name: target, Service: "s", Address: server.Listener.Addr().String(), Version: "v1", Domain: "d", Revision: 1})
			}
			logger, set := &log.Logger{Handler: discard.New()}, metrics.NewSet()
			targetLink := link.New(link.Settings{EchoHeader: echoHeader}, set)
			t.Cleanup(targetLink.Close)
			targetPicker := picker.New(targets, func(string) {}, logger, set)
			t.Cleanup(targetPicker.Close)
			targetPicker.Reconcile()
			h := shift.New(shift.Settings{Name: "self", ExposeShare: func() float64 { return 0.1 }, Orders: targets, States: targets, Targets: targets, Fleet: targets}, logger, set)
			t.Cleanup(h.Close)
			<-h.Ready()
			bound := func() retry.Bound { return retry.Bound{Slack: 100} }
			sender := send.New(send.Settings{
				Retries: bound, Fleet: bound, Size: func() int { return 1 }, AddressReuse: func() time.Duration { return 0 }, Blocks: block.New(logger, set), Shift: h,
				Stop: stop.New(stop.Settings{Grace: func() time.Duration { return time.Minute }, Elsewhere: func() bool { return true }}),
			}, targetLink, targetPicker, plainDialect{}, logger, set)
			route := site.Route{Name: "r", RetryPolicy: test.policy, MaxAttempts: 2, Services: []site.WeightedService{{Service: "s", Weight: 1}}}
			now := time.Now()
			call := chain.Call{ID: "id", Request: chain.Forward{Method: http.MethodPost, Host: "host", Path: "/x", Received: now, Deadline: now.Add(4 * time.Second)}}
			New(sender).Handle(c.Context(), call.WithRoute(site.NewConfig("1", 1, site.Limits{}), route))
			time.Sleep(500 * time.Millisecond) // A broken response is probed for.
			var sum wire.RolloutTally
			for _, report := range h.Own() {
				for _, tally := range report.Tallies {
					c.Check(tally.Route, quicktest.Equals, "r")
					sum.Sent += tally.Sent
					sum.Responses += tally.Responses
					sum.Failures += tally.Failures
					sum.Timed += tally.Timed
				}
			}
			c.Check(sum, quicktest.Equals, test.want)
		})
	}
}
