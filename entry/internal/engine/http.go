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
	"bramleywharf.example/entry/link"
	"github.com/VictoriaMetrics/metrics"
	"github.com/tmaxmax/go-sse"
)

const (
	dialTimeout      = 400 * time.Millisecond
	maxReportBytes   = 4 << 20
	maxHeaderBytes   = 64 << 10 // maxHeaderBytes bounds the headers of one response.
	maxIdlePerTarget = 64       // maxIdlePerTarget bounds the idle connections to one target.
	keepAlivePeriod  = 5 * time.Second
)

// HTTP is a Client that uses the engines' HTTP protocol.
type HTTP struct {
	pooledTransport *http.Transport
	freshTransport  *http.Transport // freshTransport uses a new connection for each request.
	reportTransport *http.Transport // reportTransport reads loads and cache events and counts their bytes.
}

var _ Client = (*HTTP)(nil)

// startBody is the JSON encoding of a Request.
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

// tokenBody is the JSON encoding of a Token.
type tokenBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// NewHTTP returns a client that connects over TCP and registers its metrics in the set.
func NewHTTP(set *metrics.Set) *HTTP {
	dial := (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}).DialContext
	countedDial := meter.CountBytes(dial, set.GetOrCreateCounter("bramleywharf_target_report_bytes_total"))
	return &HTTP{
		pooledTransport: newTransport(dial, true),
		freshTransport:  newTransport(dial, false),
		reportTransport: newTransport(countedDial, true),
	}
}

// newTransport returns a transport to targets that keeps its connections for later requests, or uses each only once.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), keep bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		DisableKeepAlives:      !keep,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Attach streams a running generation from an offset, over a new connection, until it ends.
func (h *HTTP) Attach(ctx context.Context, address, id string, from int, emit func(Event)) error {
	path := generationPath(id) + "/events?from=" + strconv.Itoa(from)
	return h.stream(ctx, h.freshTransport, http.MethodGet, address, path, nil, emit)
}

// CacheEvents returns the cache events after a sequence number.
func (h *HTTP) CacheEvents(ctx context.Context, address string, after int) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.getJSON(ctx, h.reportTransport, address, "/v1/cache-events?after="+strconv.Itoa(after), &events)
	return events, err
}

// Cancel stops a generation.
func (h *HTTP) Cancel(ctx context.Context, address, id string) error {
	response, err := h.send(ctx, h.freshTransport, http.MethodDelete, address, generationPath(id), nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	return nil
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.pooledTransport.CloseIdleConnections()
	h.freshTransport.CloseIdleConnections()
	h.reportTransport.CloseIdleConnections()
}

// Load returns the engine's report.
func (h *HTTP) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := h.getJSON(ctx, h.reportTransport, address, "/v1/load", &load)
	return load, err
}

// Order tells an engine what to load.
func (h *HTTP) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	response, err := h.send(ctx, h.freshTransport, http.MethodPost, address, "/v1/orders", body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	return nil
}

// Probe checks over a new connection whether the engine knows a generation.
func (h *HTTP) Probe(ctx context.Context, address, id string) error {
	var state map[string]any
	return h.getJSON(ctx, h.freshTransport, address, generationPath(id), &state)
}

// Start starts a generation and streams it until it ends.
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
	return h.stream(ctx, h.pooledTransport, http.MethodPost, address, "/v1/generations", body, emit)
}

// getJSON sends a GET request and decodes the response into result.
func (h *HTTP) getJSON(ctx context.Context, transport *http.Transport, address, path string, result any) error {
	response, err := h.send(ctx, transport, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(result); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrSevered, err)
	}
	return nil
}

// send sends a request and returns the response if its status is a success.
func (h *HTTP) send(ctx context.Context, transport *http.Transport, method, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build engine request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSevered, err)
	}
	if statusErr := statusError(response.StatusCode); statusErr != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("engine answered %s: %w", response.Status, statusErr)
	}
	return response, nil
}

// stream sends a request and emits the events of the response.
func (h *HTTP) stream(ctx context.Context, transport *http.Transport, method, address, path string, body []byte, emit func(Event)) error {
	response, err := h.send(ctx, transport, method, address, path, body)
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
	return fmt.Errorf("stream closed without an end event: %w", ErrSevered)
}

// generationPath returns the URL path of a generation at an engine.
func generationPath(id string) string {
	return "/v1/generations/" + url.PathEscape(id)
}

// statusError returns the error for an engine's response status, or nil for a success.
func statusError(status int) error {
	switch {
	case !link.IsFinalStatus(status):
		return ErrSevered
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
