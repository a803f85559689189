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

// drainingRetryAfter is the Retry-After of requests that a leaving instance refuses.
const drainingRetryAfter = time.Second

// problem is the RFC 9457 problem document of a refusal.
type problem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Status   int           `json:"status"`
	Detail   string        `json:"detail"`
	Executed deny.Executed `json:"executed"`
}

// instanceAddress is the address of one instance.
type instanceAddress struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure-domain"`
	Address  string `json:"address"`
}

// addressList is the body of an address look-up's response. Callers may keep it for its time to live.
type addressList struct {
	Addresses []instanceAddress `json:"addresses"`
	Life      int               `json:"time-to-live-seconds"`
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

// writeRefusal writes a refusal as a problem document, with its Retry-After in whole seconds, rounded up.
func writeRefusal(w http.ResponseWriter, r deny.Refusal) {
	p := problemOf(r)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// statusOf returns the HTTP status code of a kind of refusal.
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

// writeAnswer writes an answer that is not streamed. It aborts the connection if the caller has left.
func writeAnswer(w http.ResponseWriter, answer chain.Answer) {
	switch a := answer.(type) {
	case chain.Whole:
		if a.ContentType != "" {
			w.Header().Set("Content-Type", a.ContentType)
		}
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
	case chain.Addresses:
		body := addressList{Addresses: []instanceAddress{}, Life: int(a.Life.Seconds())}
		for _, address := range a.List {
			body.Addresses = append(body.Addresses, instanceAddress{
				Instance: address.Instance,
				Domain:   address.Domain,
				Address:  address.Address,
			})
		}
		writeJSON(w, http.StatusOK, body)
	case chain.Refused:
		writeRefusal(w, a.Refusal)
	case chain.Left:
		panic(http.ErrAbortHandler)
	default:
		writeRefusal(w, deny.New(deny.KindInternal, "no answer").WithExecuted(deny.ExecutedUnknown))
	}
}
