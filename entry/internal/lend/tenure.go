package lend

import (
	"slices"
	"time"

	"bramleywharf.example/core/limit"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/route"
)

// lenderHistory tells since when this instance is the lender of an organisation, from the recent lender candidates.
// Grants of a former lender are valid for at most limit.SliceLifetime + limit.ClockMargin, so older periods do not
// matter.
type lenderHistory struct {
	self      string
	startedAt time.Time
	periods   []period
}

// period is a time during which the lender candidates stayed the same.
type period struct {
	start      time.Time
	candidates []string
}

// observe records the current candidates and removes periods that ended too long ago to matter.
func (h *lenderHistory) observe(view member.View, now time.Time) {
	candidates := lenderCandidates(view)
	if len(h.periods) > 0 && slices.Equal(h.periods[len(h.periods)-1].candidates, candidates) {
		return
	}
	h.periods = append(h.periods, period{start: now, candidates: candidates})
	expired := 0
	for expired+1 < len(h.periods) && now.Sub(h.periods[expired+1].start) > limit.SliceLifetime+limit.ClockMargin {
		expired++
	}
	h.periods = h.periods[expired:]
}

// lenderSince returns when this instance became the lender of an organisation. If it has been the only candidate since
// its start, nobody else can have lent slots that are still valid, and it returns a time before any of them.
func (h *lenderHistory) lenderSince(organisation string) time.Time {
	for i := len(h.periods) - 1; i >= 0; i-- {
		if chooseLender(organisation, h.periods[i].candidates) != h.self {
			return h.periods[min(i+1, len(h.periods)-1)].start
		}
	}
	if len(h.periods) > 0 && len(h.periods[0].candidates) > 1 {
		return h.startedAt
	}
	return h.startedAt.Add(-limit.SliceLifetime - limit.ClockMargin)
}

// lenderCandidates returns the sorted names of the members that may lend: those alive and in contact.
func lenderCandidates(view member.View) []string {
	var names []string
	for _, m := range view.Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// chooseLender returns the candidate that lends an organisation's ceiling, or an empty name if there are no candidates.
func chooseLender(organisation string, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	return route.Rank("lender/"+organisation, candidates)[0]
}
