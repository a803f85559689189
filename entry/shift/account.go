package shift

import (
	"fmt"
	"math/rand/v2"

	"bramleywharf.example/core/canary"
	"github.com/cespare/xxhash/v2"
)

// maxCredit bounds the requests that may go to the new version one after the other.
const maxCredit = 2

// account counts what this instance sends in one roll-out. It is immutable.
//
// Each request to the service adds the share to the credit, and each attempt at the new version takes 1 of it, so that
// the fleet's attempts at the new version stay below the share of all requests, whatever instances know of each other.
type account struct {
	order    uint64
	start    uint64 // start tells the evidence of this account from that of others of the same order and instance.
	credit   float64
	evidence canary.Evidence
}

// newAccount returns the account of an order. Instances begin with different credits, so that those that get few requests
// each do not all wait until a credit of 1 has come together.
func newAccount(order uint64, instance string) account {
	h := xxhash.Sum64String(fmt.Sprint(order, " ", instance))
	return account{order: order, start: rand.Uint64(), credit: float64(h>>11) / (1 << 53)}
}

// withRequest returns the account with one more request, and whether it goes to the new version. One that does takes its
// first attempt from the credit.
func (a account) withRequest(share float64, mayBeFresh bool) (account, bool) {
	if share == 0 {
		return a, false
	}
	a.credit = min(maxCredit, a.credit+share)
	if !mayBeFresh || a.credit < 1 {
		return a, false
	}
	a.credit--
	return a, true
}

// withSent returns the account with one more attempt at a target; cost is what it takes from the credit.
func (a account) withSent(g canary.Group, tokens int, cost float64) account {
	a.credit -= cost
	a.evidence = a.evidence.WithTally(g, canary.Tally{Sent: 1, Tokens: tokens})
	return a
}

// withOutcome returns the account with the outcome of one attempt.
func (a account) withOutcome(g canary.Group, o canary.Outcome) account {
	a.evidence = a.evidence.WithOutcome(g, o)
	return a
}

// mayBeFresh reports whether the hash of a request's id lets it go to the new version. Half of the requests may, so that
// their choice does not follow a pattern of the callers.
func mayBeFresh(requestID string) bool {
	return xxhash.Sum64String(requestID)&1 == 0
}
