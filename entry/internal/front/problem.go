package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
)

// retryNow is what callers of a leaving instance are told to wait.
const retryNow = time.Second

// problem is a refusal as an RFC 9457 problem document.
type problem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Status   int           `json:"status"`
	Detail   string        `json:"detail"`
	Executed deny.Executed `json:"executed"`
}

// addressBody is one instance of an address answer.
type addressBody struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure-domain"`
	Address  string `json:"address"`
}

// addressesBody is the body of an address answer.
type addressesBody struct {
	Addresses []addressBody `json:"addresses"`
	Life      int           `json:"time-to-live-seconds"`
}

// problemOf returns the problem document of a refusal.
func problemOf(r deny.Refusal) problem {
	status := statusOf(r.Kind)
	return problem{
		Type:     "urn:bramleywharf:refusal:" + string(r.Kind),
		Title:    http.StatusText(status),
		Status:   status,
		Detail:   r.Detail,
		Executed: r.Executed,
	}
}

// refuse writes a refusal.
func refuse(w http.ResponseWriter, r deny.Refusal) {
	p := problemOf(r)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// statusOf returns the HTTP status of a kind of refusal.
func statusOf(k deny.Kind) int {
	switch k {
	case deny.KindConflict:
		return http.StatusUnprocessableEntity
	case deny.KindForbidden:
		return http.StatusForbidden
	case deny.KindInternal:
		return http.StatusInternalServerError
	case deny.KindLimit:
		return http.StatusTooManyRequests
	case deny.KindLost, deny.KindOutcome:
		return http.StatusBadGateway
	case deny.KindMalformed:
		return http.StatusBadRequest
	case deny.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case deny.KindUnauthorised:
		return http.StatusUnauthorized
	case deny.KindUnknown:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// write writes an answer that is not streamed.
func write(w http.ResponseWriter, answer chain.Answer) {
	switch a := answer.(type) {
	case chain.Whole:
		if a.ContentType != "" {
			w.Header().Set("Content-Type", a.ContentType)
		}
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
	case chain.Addresses:
		body := addressesBody{Addresses: []addressBody{}, Life: int(a.Life.Seconds())}
		for _, i := range a.List {
			body.Addresses = append(body.Addresses, addressBody{Instance: i.Instance, Domain: i.Domain, Address: i.Address})
		}
		writeJSON(w, http.StatusOK, body)
	case chain.Refused:
		refuse(w, a.Refusal)
	case chain.Left:
		panic(http.ErrAbortHandler)
	default:
		refuse(w, deny.New(deny.KindInternal, "no answer").WithExecuted(deny.ExecutedUnknown))
	}
}
