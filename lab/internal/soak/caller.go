package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bramleywharf.example/platform/stand"
	"bramleywharf.example/platform/stand/origin"
)

const (
	callerDeadline        = 8 * time.Second
	meanCallerPause       = 20 * time.Millisecond // meanCallerPause is the mean time between two requests of a caller.
	maxIdempotentAttempts = 2                     // maxIdempotentAttempts is the attempts of idempotent routes.
	maxStreamAttempts     = 5                     // maxStreamAttempts is the attempts of streaming routes.
	eventsPerStream       = 60                    // eventsPerStream is also in behaviourOf.
)

// answer is the response to a request as its caller received it.
type answer struct {
	id, route, path string
	status          int
	body            string
	incomplete      bool // incomplete tells that there was no response or that it was cut.
	signed          bool // signed tells that a target made the response.
}

// runCaller sends requests over reused connections until the context ends.
func (b *testbed) runCaller(ctx context.Context, callerIndex int, answers chan<- answer) {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{}}
	rng := rand.New(rand.NewPCG(b.settings.Seed, uint64(callerIndex)))
	for i := 0; ctx.Err() == nil; i++ {
		route := []string{stand.RouteOnce, stand.RouteAgain, stand.RouteStream}[rng.IntN(3)]
		instance := b.instances[rng.IntN(len(b.instances))]
		a := b.sendRequest(client, instance, route, fmt.Sprintf("c%d-%d", callerIndex, i))
		select {
		case answers <- a:
		case <-ctx.Done():
			return
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanCallerPause)))
	}
}

// sendRequest sends one request to an instance.
func (b *testbed) sendRequest(client *http.Client, instance *process, route, id string) answer {
	path := "/" + route + "/" + id
	key, _ := b.key()
	response := stand.Send(client, fmt.Sprintf("%s:%d", instance.ip, callerPort), stand.Request{
		ID: id, Method: http.MethodPost, Path: path, Key: key, Body: id, Deadline: callerDeadline, Prompt: "aa:200," + id + ":8000",
	})
	return answer{id: id, route: route, path: path, status: response.Status, body: response.Body, incomplete: response.Broken, signed: response.Signed}
}

// checkAnswer returns which guarantee an answer violates, given the runs of its request at targets, or an empty string.
func checkAnswer(a answer, runs []origin.Run) string {
	maxRuns := map[string]int{stand.RouteOnce: 1, stand.RouteAgain: maxIdempotentAttempts, stand.RouteStream: maxStreamAttempts}[a.route]
	for _, r := range runs {
		if r.Path != a.path || r.Body != a.id || r.Tenant != stand.Tenant {
			return fmt.Sprintf("a target ran %s %q for %s", r.Path, r.Body, r.Tenant)
		}
	}
	switch {
	case len(runs) > maxRuns:
		return fmt.Sprintf("ran %d times, at most %d allowed", len(runs), maxRuns)
	case a.route == stand.RouteOnce && (a.status == 503 || a.status == 429) && len(runs) > 0:
		return fmt.Sprintf("refused with %d but ran", a.status)
	case a.status != 200:
		return ""
	case !a.signed:
		return "success without a signature"
	case a.route != stand.RouteStream && !a.incomplete && a.body != "answer to "+a.id:
		return fmt.Sprintf("got %q", a.body)
	case a.route == stand.RouteStream:
		return checkEvents(a)
	}
	return ""
}

// checkEvents returns what is wrong with the events of a stream, or an empty string.
func checkEvents(a answer) string {
	events := strings.SplitAfter(a.body, "\n\n")
	for i, event := range events[:len(events)-1] {
		if want := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i+1, a.path, i+1); event != want {
			return fmt.Sprintf("event %d is %q", i+1, event)
		}
	}
	if !a.incomplete && len(events)-1 != eventsPerStream {
		return fmt.Sprintf("ended as complete after %d events", len(events)-1)
	}
	return ""
}
