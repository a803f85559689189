package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bramleywharf.example/platform/stand"
)

const (
	callerDeadline = 8 * time.Second
	callerPause    = 20 * time.Millisecond // callerPause is the mean pause of a caller between two requests.
	maxAgain       = 2                     // maxAgain is the attempts of idempotent routes.
	maxStream      = 5                     // maxStream is the attempts of streams.
	eventCount     = 60                    // eventCount is the number of events of each stream.
)

// answer is what a caller got.
type answer struct {
	id, route, path string
	status          int
	body            string
	broken          bool
	signed          bool
}

// call sends requests over kept connections until the context ends.
func (w *world) call(ctx context.Context, number int, answers chan<- answer) {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{}}
	r := rand.New(rand.NewPCG(w.settings.Seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		route := []string{stand.RouteOnce, stand.RouteAgain, stand.RouteStream}[r.IntN(3)]
		host := w.hosts[r.IntN(len(w.hosts))]
		a := w.request(client, host, route, fmt.Sprintf("c%d-%d", number, i))
		select {
		case answers <- a:
		case <-ctx.Done():
			return
		}
		time.Sleep(time.Duration(r.ExpFloat64() * float64(callerPause)))
	}
}

// request sends one request.
func (w *world) request(client *http.Client, host *process, route, id string) answer {
	path := "/" + route + "/" + id
	key, _ := w.key()
	got := stand.Send(client, fmt.Sprintf("%s:%d", host.ip, callerPort), stand.Request{
		ID: id, Method: http.MethodPost, Path: path, Key: key, Body: id, Deadline: callerDeadline, Prompt: "aa:200," + id + ":8000",
	})
	return answer{id: id, route: route, path: path, status: got.Status, body: got.Body, broken: got.Broken, signed: got.Signed}
}

// check returns what is wrong with an answer, given the runs of its request.
func check(a answer, runs []stand.Run) string {
	most := map[string]int{stand.RouteOnce: 1, stand.RouteAgain: maxAgain, stand.RouteStream: maxStream}[a.route]
	for _, r := range runs {
		if r.Path != a.path || r.Body != a.id || r.Tenant != stand.Tenant {
			return fmt.Sprintf("a target ran %s %q for %s", r.Path, r.Body, r.Tenant)
		}
	}
	switch {
	case len(runs) > most:
		return fmt.Sprintf("ran %d times, at most %d allowed", len(runs), most)
	case a.route == stand.RouteOnce && (a.status == 503 || a.status == 429) && len(runs) > 0:
		return fmt.Sprintf("refused with %d but ran", a.status)
	case a.status != 200:
		return ""
	case !a.signed:
		return "success without a signature"
	case a.route != stand.RouteStream && !a.broken && a.body != "answer to "+a.id:
		return fmt.Sprintf("got %q", a.body)
	case a.route == stand.RouteStream:
		return checkEvents(a)
	}
	return ""
}

// checkEvents returns what is wrong with the events of a stream.
func checkEvents(a answer) string {
	parts := strings.SplitAfter(a.body, "\n\n")
	for i, part := range parts[:len(parts)-1] {
		if want := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i+1, a.path, i+1); part != want {
			return fmt.Sprintf("event %d is %q", i+1, part)
		}
	}
	if !a.broken && len(parts)-1 != eventCount {
		return fmt.Sprintf("ended as complete after %d events", len(parts)-1)
	}
	return ""
}
