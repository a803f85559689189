package lend

import (
	"slices"
	"time"

	"bramleywharf.example/core/limit"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/route"
)

// tenure remembers which members were alive lately, to tell since when this instance is the lender of an organisation.
type tenure struct {
	self  string
	began time.Time
	terms []term
}

// term is a time in which the same members were alive.
type term struct {
	from  time.Time
	names []string
}

// observe notes the members that are alive now.
func (t *tenure) observe(view member.View, now time.Time) {
	names := candidates(view)
	if len(t.terms) > 0 && slices.Equal(t.terms[len(t.terms)-1].names, names) {
		return
	}
	t.terms = append(t.terms, term{from: now, names: names})
	old := 0
	for old+1 < len(t.terms) && now.Sub(t.terms[old+1].from) > limit.Life+limit.Margin {
		old++
	}
	t.terms = t.terms[old:]
}

// since returns when this instance became the lender of an organisation, as far back as matters.
func (t *tenure) since(organisation string) time.Time {
	for i := len(t.terms) - 1; i >= 0; i-- {
		if first(organisation, t.terms[i].names) != t.self {
			return t.terms[min(i+1, len(t.terms)-1)].from
		}
	}
	if len(t.terms) > 0 && len(t.terms[0].names) > 1 {
		return t.began
	}
	return t.began.Add(-limit.Life - limit.Margin)
}

// candidates returns the names of the members that may lend, sorted.
func candidates(view member.View) []string {
	var names []string
	for _, m := range view.Live() {
		if m.State == member.Alive && m.Incarnation > 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// first returns the name that lends an organisation's ceiling among the candidates, or an empty name.
func first(organisation string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return route.Rank("lender/"+organisation, names)[0]
}
