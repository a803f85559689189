package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/meter"
	"github.com/VictoriaMetrics/metrics"
	"github.com/tmaxmax/go-sse"
)

const (
	dialTimeout   = 400 * time.Millisecond // dialTimeout bounds the wait for a connection to a target.
	maxReport     = 4 << 20                // maxReport bounds an engine's report, in bytes.
	idlePerTarget = 64                     // idlePerTarget bounds the connections kept open to one target.
	keepAlive     = 5 * time.Second
)

// HTTP speaks the engines' protocol over net/http.
type HTTP struct {
	pooled  *http.Transport
	fresh   *http.Transport
	reports *http.Transport // reports carries load and cache events, apart so that their bytes are counted.
}

var _ Client = (*HTTP)(nil)

// startBody is the encoding of a Request.
type startBody struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Version   string   `json:"version"`
	Prompt    string   `json:"prompt"`
	Forced    []string `json:"forced,omitempty"`
	Seed      uint64   `json:"seed"`
	MaxTokens int      `json:"max-tokens"`
	Priority  int      `json:"priority"`
}

// tokenBody is the encoding of a Token.
type tokenBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// NewHTTP returns a client over TCP with counters in the set.
func NewHTTP(set *metrics.Set) *HTTP {
	dial := (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	counted := meter.Counted(dial, set.GetOrCreateCounter("bramleywharf_target_report_bytes_total"))
	return &HTTP{
		pooled:  &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerTarget, DisableCompression: true},
		fresh:   &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		reports: &http.Transport{DialContext: counted, MaxIdleConnsPerHost: idlePerTarget, DisableCompression: true},
	}
}

// Attach streams a running generation from an offset on.
func (h *HTTP) Attach(ctx context.Context, address, id string, from int, emit func(Event)) error {
	path := generationPath(id) + "/events?from=" + strconv.Itoa(from)
	return h.stream(ctx, h.fresh, http.MethodGet, address, path, nil, emit)
}

// CacheEvents returns the cache events after a sequence number.
func (h *HTTP) CacheEvents(ctx context.Context, address string, after int) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.read(ctx, h.reports, address, "/v1/cache-events?after="+strconv.Itoa(after), &events)
	return events, err
}

// Cancel stops a generation.
func (h *HTTP) Cancel(ctx context.Context, address, id string) error {
	response, err := h.send(ctx, h.fresh, http.MethodDelete, address, generationPath(id), nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	return nil
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.pooled.CloseIdleConnections()
	h.fresh.CloseIdleConnections()
	h.reports.CloseIdleConnections()
}

// Load returns the engine's report.
func (h *HTTP) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := h.read(ctx, h.reports, address, "/v1/load", &l)
	return l, err
}

// Order tells an engine what to hold.
func (h *HTTP) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	response, err := h.send(ctx, h.fresh, http.MethodPost, address, "/v1/orders", body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	return nil
}

// Probe asks over a fresh connection whether the engine knows a generation.
func (h *HTTP) Probe(ctx context.Context, address, id string) error {
	var state map[string]any
	return h.read(ctx, h.fresh, address, generationPath(id), &state)
}

// Start begins a generation and streams it.
func (h *HTTP) Start(ctx context.Context, address string, r Request, emit func(Event)) error {
	body, err := json.Marshal(startBody{
		ID:        r.ID,
		Model:     r.Spec.Model,
		Adapter:   r.Spec.Adapter,
		Version:   r.Spec.Version,
		Prompt:    r.Spec.Prompt,
		Forced:    r.Forced,
		Seed:      r.Spec.Seed,
		MaxTokens: r.Spec.MaxTokens,
		Priority:  r.Spec.Priority,
	})
	if err != nil {
		return fmt.Errorf("encode generation: %w", err)
	}
	return h.stream(ctx, h.pooled, http.MethodPost, address, "/v1/generations", body, emit)
}

// read decodes the answer to a GET.
func (h *HTTP) read(ctx context.Context, t *http.Transport, address, path string, into any) error {
	response, err := h.send(ctx, t, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(into); err != nil {
		return fmt.Errorf("%w: read report: %w", ErrSevered, err)
	}
	return nil
}

// send sends a request and returns an answer whose status is a success.
func (h *HTTP) send(ctx context.Context, t *http.Transport, method, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build engine request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSevered, err)
	}
	if failure := statusError(response.StatusCode); failure != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("engine answered %s: %w", response.Status, failure)
	}
	return response, nil
}

// stream sends a request and emits the events of its answer.
func (h *HTTP) stream(ctx context.Context, t *http.Transport, method, address, path string, body []byte, emit func(Event)) error {
	response, err := h.send(ctx, t, method, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	for e, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSevered, err)
		}
		if e.Type == "end" {
			emit(Ended{Reason: e.Data})
			return nil
		}
		var token tokenBody
		if err := json.Unmarshal([]byte(e.Data), &token); err != nil {
			return fmt.Errorf("%w: decode token: %w", ErrSevered, err)
		}
		emit(Token{Token: flow.Token{Offset: token.Offset, Text: token.Text}})
	}
	return fmt.Errorf("stream closed before its end: %w", ErrSevered)
}

// generationPath returns the path of a generation at an engine.
func generationPath(id string) string {
	return "/v1/generations/" + url.PathEscape(id)
}

// statusError returns the error that an engine's status stands for, or nil.
func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrFenced
	case status == http.StatusNotFound:
		return ErrForgotten
	case status == http.StatusRequestedRangeNotSatisfiable:
		return ErrRange
	default:
		return ErrRefused
	}
}
