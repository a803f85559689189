package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// callTimeout bounds one call to the platform beyond the time it was asked to wait.
const callTimeout = 2 * time.Second

// maxPage bounds the answer to one listing, in bytes.
const maxPage = 64 << 20

// HTTP speaks the platform's object API over net/http.
type HTTP struct {
	base   string
	token  string
	client *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the platform at a base URL, with a bearer token.
func NewHTTP(base, token string, transport http.RoundTripper) *HTTP {
	return &HTTP{
		base:   strings.TrimSuffix(base, "/"),
		token:  token,
		client: &http.Client{Transport: transport},
	}
}

// Changes waits at the platform for changes after a revision.
func (h *HTTP) Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error) {
	query := url.Values{
		"kinds": {strings.Join(kinds, ",")},
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	}
	var page Page
	err := h.get(ctx, "/v1/changes?"+query.Encode(), wait+callTimeout, &page)
	return page, err
}

// Get reads one object.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := h.get(ctx, objectPath(kind, name), callTimeout, &o)
	return o, err
}

// Instances reads the lagging list.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := h.get(ctx, "/v1/instances", callTimeout, &list)
	return list, err
}

// List reads all objects of the kinds.
func (h *HTTP) List(ctx context.Context, kinds []string) (Page, error) {
	query := url.Values{"kinds": {strings.Join(kinds, ",")}}
	var page Page
	err := h.get(ctx, "/v1/objects?"+query.Encode(), callTimeout, &page)
	return page, err
}

// Put writes an object under the condition that its revision still stands.
func (h *HTTP) Put(ctx context.Context, o Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return 0, fmt.Errorf("encode %s/%s: %w", o.Kind, o.Name, err)
	}
	request, err := h.request(ctx, http.MethodPut, objectPath(o.Kind, o.Name), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if o.Revision == 0 {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(o.Revision, 10)))
	}
	var written Object
	if err := h.do(request, &written); err != nil {
		return 0, fmt.Errorf("write %s/%s: %w", o.Kind, o.Name, err)
	}
	return written.Revision, nil
}

// do sends a request and decodes its answer.
func (h *HTTP) do(request *http.Request, into any) error {
	response, err := h.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", lostAnswer(request.Method), err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("platform answered %s: %w", response.Status, ErrDown)
	default:
		return fmt.Errorf("platform answered %s: %w", response.Status, lostAnswer(request.Method))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPage)).Decode(into); err != nil {
		return fmt.Errorf("read platform's answer: %w: %w", lostAnswer(request.Method), err)
	}
	return nil
}

// get reads a path within a time.
func (h *HTTP) get(ctx context.Context, path string, within time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	request, err := h.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := h.do(request, into); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}

// request builds a request with the platform's token.
func (h *HTTP) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("build platform request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if h.token != "" {
		request.Header.Set("Authorization", "Bearer "+h.token)
	}
	return request, nil
}

// lostAnswer tells what an unanswered call may have done.
func lostAnswer(method string) error {
	if method == http.MethodPut {
		return ErrUncertain
	}
	return ErrDown
}

// objectPath returns the path of one object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
