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

// callTimeout limits one call to the platform; Changes adds the wait that it asks the platform for.
const callTimeout = 2 * time.Second

// maxResponseBytes limits the body of one response.
const maxResponseBytes = 64 << 20

// HTTP is a client of the platform's object API over HTTP.
type HTTP struct {
	baseURL string
	token   string
	client  *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the platform at baseURL that sends token as a bearer token, unless it is empty.
func NewHTTP(baseURL, token string, transport http.RoundTripper) *HTTP {
	return &HTTP{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		token:   token,
		client:  &http.Client{Transport: transport},
	}
}

// Changes long-polls the platform for changes after a revision.
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

// Instances reads the platform's list of instances.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	err := h.get(ctx, "/v1/instances", callTimeout, &instances)
	return instances, err
}

// List reads all objects of the kinds.
func (h *HTTP) List(ctx context.Context, kinds []string) (Page, error) {
	query := url.Values{"kinds": {strings.Join(kinds, ",")}}
	var page Page
	err := h.get(ctx, "/v1/objects?"+query.Encode(), callTimeout, &page)
	return page, err
}

// Put writes an object if its stored revision is still o.Revision, using a conditional request.
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

// do sends a request and decodes the JSON response into result.
func (h *HTTP) do(request *http.Request, result any) error {
	response, err := h.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", lostResponseError(request.Method), err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("platform answered %s: %w", response.Status, ErrUnreachable)
	default:
		return fmt.Errorf("platform answered %s: %w", response.Status, lostResponseError(request.Method))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("read platform response: %w: %w", lostResponseError(request.Method), err)
	}
	return nil
}

// get reads a path and decodes the JSON response into result.
func (h *HTTP) get(ctx context.Context, path string, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := h.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := h.do(request, result); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}

// request returns a request to the platform with the bearer token, if there is one.
func (h *HTTP) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, body)
	if err != nil {
		return nil, fmt.Errorf("build platform request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if h.token != "" {
		request.Header.Set("Authorization", "Bearer "+h.token)
	}
	return request, nil
}

// lostResponseError returns the error for a call without a usable response: a PUT may have taken effect.
func lostResponseError(method string) error {
	if method == http.MethodPut {
		return ErrOutcomeUnknown
	}
	return ErrUnreachable
}

// objectPath returns the URL path of one object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
