package boot

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"bramleywharf.example/stand/engine"
	"bramleywharf.example/stand/plain"
	"bramleywharf.example/stand/plat"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
	"github.com/tmaxmax/go-sse"
)

const operatorKey = "operator"

// hostCount counts the loopback addresses given out.
var hostCount atomic.Int32

// testFleet is a fleet of instances in this process. They use real sockets, and stand-ins for the platform, the
// engines and a service.
type testFleet struct {
	c         *quicktest.C
	platform  string // platform is the base URL of its stand-in.
	instances []*Instance
	engines   []*httptest.Server
}

// newTestFleet starts a platform, two engines, a service and the given number of instances.
func newTestFleet(t *testing.T, instanceCount int) *testFleet {
	c := quicktest.New(t)
	f := &testFleet{c: c}
	platform := httptest.NewServer(plat.New(plat.Settings{}))
	c.Cleanup(platform.Close)
	f.platform = platform.URL
	f.declare(conf.KindModel, "m", conf.Model{Versions: []string{"1"}, Default: "1", Adapters: []string{"a"}})
	f.declare(conf.KindService, "orders", conf.Service{Calls: []conf.ServiceCall{{Method: "POST", Path: "/orders", NonIdempotent: true}}})
	for i := range 2 {
		engineServer := httptest.NewServer(engine.New(engine.Settings{Name: fmt.Sprint("e", i), Gap: 2 * time.Millisecond, Slots: 32}))
		c.Cleanup(engineServer.Close)
		f.engines = append(f.engines, engineServer)
		f.declare(conf.KindTarget, fmt.Sprint("e", i), conf.Target{Address: engineServer.Listener.Addr().String(), Domain: "d", Models: []string{"m"}})
	}
	service := httptest.NewServer(plain.New("s", 0))
	c.Cleanup(service.Close)
	f.declare(conf.KindTarget, "s", conf.Target{Address: service.Listener.Addr().String(), Domain: "d", Service: "orders"})
	var limits []conf.Limit
	for _, name := range []string{"north", "south"} {
		f.declare(conf.KindOrganisation, name, conf.Organisation{KeyHash: hash(name + "-key")})
		limits = append(limits, conf.Limit{Organisation: name, Share: 10, Ceiling: 10, Models: []string{"m"}, Recovery: "latency"})
	}
	f.declare(conf.KindOrganisation, "west", conf.Organisation{KeyHash: hash("west-key")})
	f.declare(conf.KindSheet, "club", conf.Sheet{Date: "2026-12-04", Limits: limits})
	for i := range instanceCount {
		f.startInstance(fmt.Sprint("i", i))
	}
	return f
}

// declare stores a configuration object in the platform.
func (f *testFleet) declare(kind, name string, value conf.Value) {
	raw, err := json.Marshal(value)
	f.c.Assert(err, quicktest.IsNil)
	_, err = store.NewHTTP(f.platform, "", http.DefaultTransport).Put(f.c.Context(), store.Object{Kind: kind, Name: name, Value: raw})
	f.c.Assert(err, quicktest.IsNil)
}

// startInstance starts an instance on free ports and waits until it is ready.
func (f *testFleet) startInstance(name string) {
	var seeds []string
	for _, i := range f.instances {
		seeds = append(seeds, i.settings.PeerListen)
	}
	callers, operators, peers := freeAddresses(f.c)
	s := Settings{
		Name: name, Domain: "d", Platform: f.platform, FleetSecret: "0123456789abcdef", OperatorHash: hash(operatorKey),
		Listen: callers, PeerListen: peers, AdminListen: operators,
		Seeds: seeds, Budget: 12, Costly: 8, Linger: time.Second, DrainTimeout: 20 * time.Second,
	}
	f.c.Assert(s.Check(), quicktest.IsNil)
	i, err := Start(s, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	f.c.Assert(err, quicktest.IsNil)
	f.c.Cleanup(func() {
		i.Leave()
		<-i.Done()
	})
	f.instances = append(f.instances, i)
	f.eventually(func() bool {
		response, err := http.Get("http://" + s.AdminListen + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually waits until a condition is true and fails the test after 30 s.
func (f *testFleet) eventually(condition func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		f.c.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("condition did not come true"))
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a request to an instance with an organisation's key and returns the status and body of the response.
func (f *testFleet) call(instance int, method, path, key, body string, header map[string]string) (int, string) {
	request, err := http.NewRequestWithContext(f.c.Context(), method, "http://"+f.instances[instance].settings.Listen+path, strings.NewReader(body))
	f.c.Assert(err, quicktest.IsNil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	f.c.Assert(err, quicktest.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	f.c.Assert(err, quicktest.IsNil)
	return response.StatusCode, string(text)
}

// eventID returns the id of the event at a position of a stream, counted from 1, or "" if the stream is shorter.
func eventID(c *quicktest.C, stream string, position int) string {
	count := 0
	for event, err := range sse.Read(strings.NewReader(stream), nil) {
		c.Assert(err, quicktest.IsNil)
		count++
		if count == position {
			return event.LastEventID
		}
	}
	return ""
}

// freeAddresses returns two TCP addresses and a UDP address with ports that were free a moment ago. Their host is used by
// one instance only, so that no outgoing connection of another program takes one of the ports.
func freeAddresses(c *quicktest.C) (callers, operators, peers string) {
	host := fmt.Sprintf("127.0.78.%d", hostCount.Add(1))
	var tcp [2]net.Listener // Both stay open until the ports are chosen, so that none is chosen twice.
	for i := range tcp {
		listener, err := net.Listen("tcp", host+":0")
		c.Assert(err, quicktest.IsNil)
		defer func() { _ = listener.Close() }()
		tcp[i] = listener
	}
	udp, err := net.ListenPacket("udp", host+":0")
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = udp.Close() }()
	return tcp[0].Addr().String(), tcp[1].Addr().String(), udp.LocalAddr().String()
}

// hash returns the SHA-256 hash of a key in hexadecimal.
func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// streamRequest is the body of a completion request for a stream of 30 tokens.
const streamRequest = `{"model":"m","prompt":"one two three","max_tokens":30,"seed":5,"stream":true}`

// TestBadInput checks that each kind of invalid request is refused as not executed, with a detail that names the
// fault, and that a valid request still gets its whole stream afterwards.
func TestBadInput(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.eventually(func() bool {
		status, _ := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
		return status == 200
	})
	_, stream := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
	validID := eventID(fleet.c, stream, 5)
	fleet.c.Assert(validID, quicktest.Not(quicktest.Equals), "")
	type table = map[string]struct {
		method, path, key, body string
		header                  map[string]string
		status                  int
		contains                string
	}
	cases := table{
		"no-key":            {path: "/v1/completions", body: streamRequest, status: 401, contains: "key is missing"},
		"wrong-key":         {path: "/v1/completions", key: "x", body: streamRequest, status: 401, contains: "unknown"},
		"on-no-sheet":       {path: "/v1/completions", key: "west-key", body: streamRequest, status: 403, contains: "no member's sheet"},
		"not-json":          {path: "/v1/completions", key: "north-key", body: `{"model": m}`, status: 400, contains: "at byte 11"},
		"wrong-type":        {path: "/v1/completions", key: "north-key", body: `{"max_tokens":"x"}`, status: 400, contains: "field max_tokens"},
		"cut-json":          {path: "/v1/completions", key: "north-key", body: `{"model":"m"`, status: 400, contains: "not whole JSON"},
		"unknown-model":     {path: "/v1/completions", key: "north-key", body: `{"model":"x","prompt":"p"}`, status: 404, contains: `model \"x\"`},
		"unknown-version":   {path: "/v1/completions", key: "north-key", body: `{"model":"m/a@9","prompt":"p"}`, status: 404, contains: "no version"},
		"unknown-adapter":   {path: "/v1/completions", key: "north-key", body: `{"model":"m/z","prompt":"p"}`, status: 404, contains: "no adapter"},
		"empty-prompt":      {path: "/v1/completions", key: "north-key", body: `{"model":"m"}`, status: 400, contains: "prompt is empty"},
		"too-many-tokens":   {path: "/v1/completions", key: "north-key", body: `{"model":"m","prompt":"p","max_tokens":1000001}`, status: 400, contains: "1000001"},
		"body-too-large":    {path: "/v1/completions", key: "north-key", body: `{"prompt":"` + strings.Repeat("x", 17<<20), status: 413, contains: "over"},
		"prompt-too-large":  {path: "/v1/completions", key: "north-key", body: `{"model":"m","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, status: 413, contains: "over"},
		"forged-id":         {path: "/v1/completions", key: "north-key", body: streamRequest, header: map[string]string{"Last-Event-ID": "AAAA" + validID[4:]}, status: 400, contains: "not issued"},
		"foreign-id":        {path: "/v1/completions", key: "south-key", body: streamRequest, header: map[string]string{"Last-Event-ID": validID}, status: 400, contains: "not issued"},
		"unknown-service":   {path: "/v1/services/x/orders", key: "north-key", status: 404, contains: `service \"x\"`},
		"order-without-key": {path: "/v1/services/orders/orders", key: "north-key", status: 400, contains: "Idempotency-Key"},
		"call-too-large":    {path: "/v1/services/orders/orders", key: "north-key", body: strings.Repeat("x", 2<<20), status: 413, contains: "over"},
		"unknown-path":      {path: "/v2/x", key: "north-key", status: 404, contains: "not part of this interface"},
		"bad-query":         {method: "GET", path: "/v1/completions?model=m&prompt=p&max_tokens=x", key: "north-key", status: 400, contains: "max_tokens"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			status, body := fleet.call(0, method, test.path, test.key, test.body, test.header)
			c.Assert(status, quicktest.Equals, test.status, quicktest.Commentf("%s", body))
			c.Assert(body, quicktest.Contains, test.contains)
			c.Assert(body, quicktest.Contains, `"executed":"no"`)
		})
	}
	resentStatus, resent := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
	fleet.c.Assert(resentStatus, quicktest.Equals, 200)
	fleet.c.Assert(strings.Count(resent, "data:"), quicktest.Equals, strings.Count(stream, "data:"))
}

// TestStreams checks that streams by POST and by GET have the text of the unstreamed completion, and that one
// instance resumes them after any event, from either instance, without losing or repeating a token.
func TestStreams(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.eventually(func() bool {
		status, _ := fleet.call(1, "POST", "/v1/completions", "north-key", streamRequest, nil)
		return status == 200
	})
	_, unstreamed := fleet.call(0, "POST", "/v1/completions", "north-key", strings.Replace(streamRequest, "true", "false", 1), nil)
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	fleet.c.Assert(json.Unmarshal([]byte(unstreamed), &completion), quicktest.IsNil)
	want := completion.Choices[0].Text
	query := "/v1/completions?model=m&prompt=one+two+three&max_tokens=30&seed=5&key=north-key"
	cases := map[string]func() string{
		"post": func() string {
			_, s := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
			return s
		},
		"event-source": func() string { _, s := fleet.call(1, "GET", query, "", "", nil); return s },
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			stream := request()
			c.Assert(textOf(c, stream), quicktest.Equals, want)
			c.Assert(stream, quicktest.Contains, "data: [DONE]")
			for _, position := range []int{1, 15, 30} {
				_, rest := fleet.call(1, "GET", query, "", "", map[string]string{"Last-Event-ID": eventID(c, stream, position)})
				c.Assert(want, quicktest.Satisfies, func(w string) bool { return strings.HasSuffix(w, textOf(c, rest)) })
				c.Assert(strings.Count(rest, "data:"), quicktest.Equals, 30-position+2)
			}
		})
	}
	status, body := fleet.call(0, "GET", "/v1/addresses?model=m", "north-key", "", nil)
	fleet.c.Assert(status, quicktest.Equals, 200)
	fleet.c.Assert(strings.Count(body, `"instance"`), quicktest.Equals, 2)
}

// textOf returns the concatenated text of all events of a stream.
func textOf(c *quicktest.C, stream string) string {
	var text strings.Builder
	for event, err := range sse.Read(strings.NewReader(stream), nil) {
		c.Assert(err, quicktest.IsNil)
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(event.Data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	return text.String()
}

// TestPlannedStop checks that streams in progress are completed while their instance stops.
func TestPlannedStop(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.eventually(func() bool {
		status, _ := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
		return status == 200
	})
	longRequest := strings.Replace(streamRequest, "30", "500", 1)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			_, stream := fleet.call(0, "POST", "/v1/completions", "north-key", longRequest, nil)
			fleet.c.Check(strings.Count(stream, "id:"), quicktest.Equals, 500)
			fleet.c.Check(stream, quicktest.Contains, "[DONE]")
		})
	}
	time.Sleep(200 * time.Millisecond)
	fleet.instances[0].Leave()
	group.Wait()
	<-fleet.instances[0].Done()
	fleet.eventually(func() bool {
		_, body := fleet.call(1, "GET", "/v1/addresses?model=m", "north-key", "", nil)
		return strings.Count(body, `"instance"`) == 1
	})
}

// TestOpenCallsAreAnsweredAfterDrainTimeout guards against calls that are cut without an answer when the drain timeout has
// passed.
func TestOpenCallsAreAnsweredAfterDrainTimeout(t *testing.T) {
	longRequest := strings.Replace(streamRequest, "30", "5000", 1)
	cases := map[string]struct {
		body   string
		status int
		text   string
	}{
		"unstreamed": {strings.Replace(longRequest, "true", "false", 1), 502, `"executed":"unknown"`},
		"stream":     {longRequest, 200, "event: error"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 1)
			fleet.eventually(func() bool {
				status, _ := fleet.call(0, "POST", "/v1/completions", "north-key", streamRequest, nil)
				return status == 200
			})
			instance := fleet.instances[0]
			instance.settings.DrainTimeout = 300 * time.Millisecond
			time.AfterFunc(200*time.Millisecond, instance.Leave)
			status, body := fleet.call(0, "POST", "/v1/completions", "north-key", test.body, nil)
			fleet.c.Check(status, quicktest.Equals, test.status)
			fleet.c.Check(body, quicktest.Contains, test.text)
			fleet.c.Check(body, quicktest.Not(quicktest.Contains), "[DONE]")
			<-instance.Done()
		})
	}
}

// TestOperators checks which paths of the admin address need the operator key, and that no answer shows a secret.
func TestOperators(t *testing.T) {
	fleet := newTestFleet(t, 1)
	cases := map[string]struct {
		path, key string
		status    int
		contains  string
	}{
		"metrics":     {path: "/metrics", status: 200, contains: "bramleywharf_config_revision"},
		"health":      {path: "/healthz", status: 200},
		"status":      {path: "/v1/status", key: operatorKey, status: 200, contains: `"instance":"i0"`},
		"page":        {path: "/", key: operatorKey, status: 200, contains: "0 generations running"},
		"no-key":      {path: "/v1/status", status: 401},
		"caller-key":  {path: "/v1/status", key: "north-key", status: 401},
		"page-no-key": {path: "/", status: 401},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+fleet.instances[0].settings.AdminListen+test.path, nil)
			c.Assert(err, quicktest.IsNil)
			request.Header.Set("Authorization", "Bearer "+test.key)
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			c.Assert(err, quicktest.IsNil)
			c.Assert(response.StatusCode, quicktest.Equals, test.status)
			c.Assert(string(body), quicktest.Contains, test.contains)
			for _, secret := range []string{operatorKey + `"`, "north-key", "0123456789abcdef"} {
				c.Assert(string(body), quicktest.Not(quicktest.Contains), secret)
			}
		})
	}
}

// TestSettingsCheck checks that the error names the flag of every invalid setting.
func TestSettingsCheck(t *testing.T) {
	good := Settings{
		Name: "i", Domain: "d", Platform: "http://127.0.0.1:1", FleetSecret: "0123456789abcdef", OperatorHash: hash("x"),
		Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:2", AdminListen: "127.0.0.1:3", Budget: 24, Costly: 1,
	}
	cases := map[string]struct {
		change   func(s *Settings)
		contains []string
	}{
		"good":         {change: func(*Settings) {}},
		"two-missing":  {change: func(s *Settings) { s.Name, s.Domain = "", "" }, contains: []string{"--name", "--failure-domain"}},
		"short-secret": {change: func(s *Settings) { s.FleetSecret = "short" }, contains: []string{"--fleet-secret"}},
		"no-port":      {change: func(s *Settings) { s.Listen = "x" }, contains: []string{"--listen"}},
		"invalid-hash": {change: func(s *Settings) { s.OperatorHash = "zz" }, contains: []string{"--operator-key-hash"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := good
			test.change(&s)
			err := s.Check()
			c.Assert(err == nil, quicktest.Equals, len(test.contains) == 0)
			for _, text := range test.contains {
				c.Assert(err.Error(), quicktest.Contains, text)
			}
		})
	}
}
