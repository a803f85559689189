package series

import (
	"testing"

	"github.com/frankban/quicktest"
)

// positionAfter returns the position after the events of one response.
func positionAfter(ids ...string) Position {
	p := After("")
	for i, id := range ids {
		p = p.WithEvent(id, i == 0)
	}
	return p
}

// stepsOf returns the steps of a service after as many steps of a size as show that all streams have them.
func stepsOf(size int64) Steps {
	var s Steps
	for range minServiceSteps {
		s = s.With(size)
	}
	return s
}

// TestJudge checks that events in any increasing order may follow, and that those which come twice, or in the place of others,
// are found.
func TestJudge(t *testing.T) {
	byOne, byFive, uneven := positionAfter("1", "2", "3", "4"), positionAfter("5", "10", "15", "20"), positionAfter("3", "4", "9", "11")
	cases := map[string]struct {
		position Position
		service  Steps
		id       string
		isFirst  bool
		want     Verdict
	}{
		"first-event":                          {position: After(""), id: "1", isFirst: true, want: Next{}},
		"first-event-of-any-number":            {position: After(""), id: "700", isFirst: true, want: Next{}},
		"unnumbered":                           {position: After(""), id: "", want: Next{}},
		"after-a-name":                         {position: After("a"), id: "b", want: Next{}},
		"next-by-one":                          {position: byOne, id: "5", want: Next{}},
		"next-by-five":                         {position: byFive, id: "25", want: Next{}},
		"next-by-five-at-its-second-event":     {position: positionAfter("5"), id: "10", want: Next{}},
		"next-of-uneven":                       {position: uneven, id: "40", want: Next{}},
		"after-zero":                           {position: After("0"), id: "1", want: Next{}},
		"without-id":                           {position: byOne, id: "", want: Foreign{ErrNotNext}},
		"name-after-number":                    {position: byOne, id: "b", want: Foreign{ErrNotNext}},
		"twice-by-one":                         {position: byOne, id: "4", want: Foreign{ErrNotNext}},
		"twice-by-five":                        {position: byFive, id: "20", want: Foreign{ErrNotNext}},
		"twice-of-uneven":                      {position: uneven, id: "11", want: Foreign{ErrNotNext}},
		"earlier-by-five":                      {position: byFive, id: "10", want: Foreign{ErrNotNext}},
		"earlier-of-uneven":                    {position: uneven, id: "9", isFirst: true, want: Foreign{ErrNotNext}},
		"resumes-at-the-begin":                 {position: byFive, id: "5", isFirst: true, want: Foreign{ErrNotNext}},
		"resumes-by-one":                       {position: byOne, id: "5", isFirst: true, want: Next{}},
		"resumes-by-five":                      {position: byFive, id: "25", isFirst: true, want: Next{}},
		"resumes-uneven":                       {position: uneven, id: "19", isFirst: true, want: Next{}},
		"resumes-too-late-by-one":              {position: byOne, id: "6", isFirst: true, want: Foreign{ErrGap}},
		"resumes-too-late-by-five":             {position: byFive, id: "30", isFirst: true, want: Foreign{ErrGap}},
		"resumes-by-other-numbers":             {position: byFive, id: "21", isFirst: true, want: Doubtful{}},
		"skips-one":                            {position: byOne, id: "6", want: Doubtful{}},
		"skips-five":                           {position: byFive, id: "30", want: Doubtful{}},
		"smaller-step":                         {position: byFive, id: "22", want: Doubtful{}},
		"caller-resumes":                       {position: After("20"), id: "25", isFirst: true, want: Next{}},
		"caller-resumes-by-the-service's-step": {position: After("20"), service: stepsOf(5), id: "25", isFirst: true, want: Next{}},
		"caller-resumes-too-late":              {position: After("20"), service: stepsOf(5), id: "30", isFirst: true, want: Foreign{ErrGap}},
		"caller-gets-an-event-twice":           {position: After("20"), id: "20", isFirst: true, want: Foreign{ErrNotNext}},
		"caller-resumes-at-the-begin":          {position: After("20"), id: "5", isFirst: true, want: Foreign{ErrNotNext}},
		"service-has-uneven-steps":             {position: byOne, service: stepsOf(1).With(3), id: "9", isFirst: true, want: Next{}},
		"service-numbers-otherwise":            {position: byFive, service: stepsOf(1), id: "25", want: Next{}},
		"confirmed-by-another-target":          {position: byOne.WithDispute("8"), id: "8", isFirst: true, want: Next{}},
		"not-confirmed":                        {position: byOne.WithDispute("8"), id: "5", isFirst: true, want: Next{}},
		"resumes-later-than-disputed":          {position: byOne.WithDispute("8"), id: "9", isFirst: true, want: Foreign{ErrGap}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			got := test.position.Judge(test.id, test.service, test.isFirst)
			if want, ok := test.want.(Foreign); ok {
				foreign, ok := got.(Foreign)
				c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%#v", got))
				c.Assert(foreign.Err, quicktest.ErrorIs, want.Err)
				return
			}
			c.Assert(got, quicktest.Equals, test.want)
		})
	}
}

// TestNumbered checks that a stream is resumed after numbers only.
func TestNumbered(t *testing.T) {
	cases := map[string]struct {
		position Position
		want     bool
	}{
		"number":                    {positionAfter("5"), true},
		"name":                      {positionAfter("a"), false},
		"none":                      {positionAfter(""), false},
		"event-without-id-at-begin": {positionAfter("", "7"), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.position.IsNumbered(), quicktest.Equals, test.want)
		})
	}
}
