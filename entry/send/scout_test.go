package send

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

// listed is a source of one target whose age a test sets.
type listed struct {
	empty
	age    time.Duration
	target site.Target
}

// Age returns the age.
func (l listed) Age() time.Duration { return l.age }

// Settled tells that what is missing is gone if the list is current.
func (l listed) Settled() bool { return l.age < time.Second }

// Targets returns the target.
func (l listed) Targets() []site.Target { return []site.Target{l.target} }

// plainDialect asks by the path alone.
type plainDialect struct{ Dialect }

// Ask returns a question to whoever has the address.
func (plainDialect) Ask(t site.Target) link.Request {
	return link.Request{Address: t.Address, Host: "h", Method: http.MethodGet, Path: "/report"}
}

// IsEngine tells whether the answer is that of an engine.
func (plainDialect) IsEngine(status int, body []byte) bool {
	return status == http.StatusOK && string(body) == "engine"
}

// Judge tells who has the address.
func (plainDialect) Judge(status int, header map[string][]string) Verdict {
	if status == http.StatusMisdirectedRequest {
		return NotRun{Misdirected: true, Holder: http.Header(header).Get("Holder")}
	}
	return Signed{}
}

// Seek returns a question to one target.
func (d plainDialect) Seek(t site.Target) link.Request {
	r := d.Ask(t)
	r.Header = map[string][]string{"Wanted": {t.Name}}
	return r
}

func TestScout(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration // age is that of the platform's list.
		holder   string        // holder is the target that has the address, or empty when none has.
		kind     string        // kind is what that target says it is.
		sound    bool          // sound tells that the target was not lost.
		services []site.Service
		asked    int64
		found    string // found is the target that is used in the end, or empty.
	}{
		"another-start":           {age: 5 * time.Second, holder: "b", kind: "engine", asked: 2, found: "b"},
		"same-start":              {age: 5 * time.Second, holder: "a", kind: "engine", asked: 1, found: "a"},
		"another-service":         {age: 5 * time.Second, holder: "b", kind: "shop", asked: 2},
		"still-down":              {age: 5 * time.Second},
		"list-is-current":         {age: time.Second, holder: "b", kind: "engine"},
		"not-lost":                {age: 5 * time.Second, holder: "b", kind: "engine", sound: true, found: "a"},
		"two-services-of-engines": {age: 5 * time.Second, holder: "b", kind: "engine", services: []site.Service{{Name: "other", Engine: &site.Engine{}}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var asked atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				if wanted := r.Header.Get("Wanted"); wanted != "" && wanted != test.holder {
					w.Header().Set("Holder", test.holder)
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				_, _ = io.WriteString(w, test.kind)
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			if test.holder == "" {
				server.Close()
			}
			logger := &log.Logger{Handler: discard.New()}
			source := listed{age: test.age, target: site.Target{Name: "a", Service: "s", Address: address, Domain: "x", Started: 7, Revision: 1}}
			p := picker.New(source, func(string) {}, logger, metrics.NewSet())
			defer p.Close()
			want := picker.Want{Service: "s", Session: "session"}
			var pick *picker.Pick
			for ok := false; !ok; time.Sleep(time.Millisecond) {
				pick, ok = p.Stream(want)
			}
			if !test.sound {
				pick.Lost("gone")
			}
			pick.Release()
			l := link.New(link.Settings{}, metrics.NewSet())
			defer l.Close()
			s := New(Settings{}, l, p, plainDialect{}, logger, metrics.NewSet())
			config := site.NewConfig("1", 1, site.Limits{}).WithServices(append(test.services, site.Service{Name: "s", Engine: &site.Engine{}}))
			scout := &Scout{sender: s, config: func() *site.Config { return config }, asked: make(map[string]time.Time)}
			scout.look(context.Background())
			scout.look(context.Background()) // A target is not asked again at once.
			c.Assert(asked.Load(), quicktest.Equals, test.asked)
			found := ""
			for _, name := range []string{"a", "b"} {
				if p.IsSound(site.Target{Name: name, Address: address}) {
					found = name
				}
			}
			c.Assert(found, quicktest.Equals, test.found)
		})
	}
}
