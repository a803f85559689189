package merge

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/series"
	"bramleywharf.example/entry/event"
	"github.com/frankban/quicktest"
)

const testService = "s"

// response is what a target sends, by the ids of its events.
type response struct {
	ids   []int
	taken []int // taken holds the ids that are passed on.
	err   error // err is the error of the last event, or nil for a response that ends after it.
}

// play has a stream take a response and returns the ids that it passed on.
func play(c *quicktest.C, s *Stream, sent response, mayMove bool) []int {
	r := s.NewResponse()
	var taken []int
	pass := func(events []event.Event) {
		for _, e := range events {
			id, err := strconv.Atoi(e.ID)
			c.Assert(err, quicktest.IsNil)
			c.Assert(string(e.Raw), quicktest.Equals, "id: "+e.ID+"\n\n")
			taken = append(taken, id)
		}
	}
	raw := make([]byte, 0, 64)
	for i, id := range sent.ids {
		raw = append(raw[:0], "id: "+strconv.Itoa(id)+"\n\n"...) // Like that of a reader, the memory is used again.
		events, err := r.Take(event.Event{Raw: raw, ID: strconv.Itoa(id)}, func() bool { return mayMove })
		pass(events)
		if i == len(sent.ids)-1 && sent.err != nil {
			c.Assert(err, quicktest.ErrorIs, sent.err)
			return taken
		}
		c.Assert(err, quicktest.IsNil)
	}
	pass(r.Release())
	return taken
}

// TestMerge checks that events in equal and unequal steps are passed on, also from several targets, and that events of other
// streams, events that come twice and responses that go on at the wrong place are not.
func TestMerge(t *testing.T) {
	cases := map[string]struct {
		after     string // after is the id of the last event that the caller has.
		responses []response
		stays     bool // stays tells that no other target can be asked.
	}{
		"by-one":                       {responses: []response{{ids: []int{1, 2, 3, 4, 5}, taken: []int{1, 2, 3, 4, 5}}}},
		"by-five":                      {responses: []response{{ids: []int{5, 10, 15, 20, 25}, taken: []int{5, 10, 15, 20, 25}}}},
		"unequal-steps":                {responses: []response{{ids: []int{3, 4, 9, 11, 30, 31}, taken: []int{3, 4, 9, 11, 30, 31}}}},
		"smaller-last-step":            {responses: []response{{ids: []int{5, 10, 15, 20, 22}, taken: []int{5, 10, 15, 20, 22}}}},
		"larger-last-step":             {responses: []response{{ids: []int{1, 2, 3, 4, 9}, taken: []int{1, 2, 3, 4, 9}}}},
		"first-unequal-step-stays":     {responses: []response{{ids: []int{1, 2, 3, 4, 6, 7, 9}, taken: []int{1, 2, 3, 4, 6, 7, 9}}}, stays: true},
		"first-unequal-step-confirmed": {responses: []response{{ids: []int{1, 2, 3, 4, 6, 7}, taken: []int{1, 2, 3, 4}, err: ErrDisputed}, {ids: []int{6, 7, 9, 10}, taken: []int{6, 7, 9, 10}}}},
		"resumes-by-five":              {responses: []response{{ids: []int{5, 10, 15, 20}, taken: []int{5, 10, 15, 20}}, {ids: []int{25, 30}, taken: []int{25, 30}}}},
		"resumes-with-its-last-event":  {responses: []response{{ids: []int{5, 10, 15, 20}, taken: []int{5, 10, 15, 20}}, {ids: []int{22}, taken: []int{22}}}},
		"resumes-unequal-steps":        {responses: []response{{ids: []int{3, 4, 9, 11}, taken: []int{3, 4, 9, 11}}, {ids: []int{19, 21}, taken: []int{19, 21}}}},
		"resumes-after-one-event":      {responses: []response{{ids: []int{5}, taken: []int{5}}, {ids: []int{10, 15}, taken: []int{10, 15}}}},
		"caller-resumes":               {after: "20", responses: []response{{ids: []int{25, 30, 35}, taken: []int{25, 30, 35}}}},
		"caller-resumes-unequal-steps": {after: "20", responses: []response{{ids: []int{21, 30, 33}, taken: []int{21, 30, 33}}}},
		"event-twice":                  {responses: []response{{ids: []int{5, 10, 10}, taken: []int{5, 10}, err: series.ErrNotNext}}},
		"event-twice-of-unequal":       {responses: []response{{ids: []int{3, 4, 9, 9}, taken: []int{3, 4, 9}, err: series.ErrNotNext}}},
		"goes-back":                    {responses: []response{{ids: []int{5, 10, 15, 5}, taken: []int{5, 10, 15}, err: series.ErrNotNext}}},
		"earlier-event-of-another":     {responses: []response{{ids: []int{30, 35, 40, 7}, taken: []int{30, 35, 40}, err: series.ErrNotNext}}},
		"later-event-of-another":       {responses: []response{{ids: []int{5, 10, 15, 20, 85, 25}, taken: []int{5, 10, 15, 20}, err: series.ErrNotNext}}, stays: true},
		"goes-on-with-another":         {responses: []response{{ids: []int{5, 10, 15, 20, 85, 90, 95}[:6], taken: []int{5, 10, 15, 20}, err: ErrDisputed}, {ids: []int{25, 30, 35}, taken: []int{25, 30, 35}}}},
		"goes-on-with-another-by-one":  {responses: []response{{ids: []int{1, 2, 3, 4, 57, 58}, taken: []int{1, 2, 3, 4}, err: ErrDisputed}, {ids: []int{5, 6, 7}, taken: []int{5, 6, 7}}}},
		"resumes-at-the-begin":         {responses: []response{{ids: []int{5, 10, 15, 20}, taken: []int{5, 10, 15, 20}}, {ids: []int{5}, err: series.ErrNotNext}, {ids: []int{25}, taken: []int{25}}}},
		"resumes-too-late":             {responses: []response{{ids: []int{5, 10, 15, 20}, taken: []int{5, 10, 15, 20}}, {ids: []int{30}, err: series.ErrGap}, {ids: []int{30}, err: series.ErrGap}}},
		"resumes-by-other-numbers":     {responses: []response{{ids: []int{5, 10, 15, 20}, taken: []int{5, 10, 15, 20}}, {ids: []int{21, 22}, err: series.ErrNotNext}}},
		"caller-resumes-at-the-begin":  {after: "20", responses: []response{{ids: []int{5}, err: series.ErrNotNext}}},
		"caller-resumes-at-its-event":  {after: "20", responses: []response{{ids: []int{20}, err: series.ErrNotNext}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var known Known
			s := NewStream(&known, testService, test.after)
			for i, sent := range test.responses {
				c.Assert(play(c, s, sent, !test.stays), quicktest.DeepEquals, sent.taken, quicktest.Commentf("response %d", i))
			}
		})
	}
}

// TestStreamsOfService checks what one stream learns from others: where a stream goes on that its caller resumes, and that
// only one stream at a time leaves its target for a doubtful event.
func TestStreamsOfService(t *testing.T) {
	even := response{ids: []int{5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 60, 65, 70, 75, 80, 85}}
	even.taken = even.ids
	skips := response{ids: []int{5, 10, 15, 20, 30, 35}, taken: []int{5, 10, 15, 20}, err: ErrDisputed}
	accepted := response{ids: skips.ids, taken: skips.ids}
	late := response{ids: []int{35}, err: series.ErrGap}
	next := response{ids: []int{25}, taken: []int{25}}
	type step struct {
		stream int    // stream is the index of the stream that takes the response.
		after  string // after is the id of the last event that its caller has.
		sent   response
	}
	cases := map[string][]step{
		"resumed-too-late":             {{0, "", even}, {1, "20", late}, {1, "", next}},
		"resumed-at-any-with-uneven":   {{0, "", even}, {1, "", response{ids: []int{1, 2, 9}, taken: []int{1, 2, 9}}}, {2, "20", response{ids: []int{35}, taken: []int{35}}}},
		"one-dispute-at-a-time":        {{0, "", skips}, {1, "", accepted}},
		"dispute-after-another":        {{0, "", skips}, {0, "", next}, {1, "", skips}, {1, "", next}},
		"no-dispute-after-a-confirmed": {{0, "", skips}, {0, "", response{ids: []int{30, 35}, taken: []int{30, 35}}}, {1, "", accepted}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var known Known
			streams := make(map[int]*Stream)
			for i, step := range steps {
				if streams[step.stream] == nil {
					streams[step.stream] = NewStream(&known, testService, step.after)
				}
				c.Assert(play(c, streams[step.stream], step.sent, true), quicktest.DeepEquals, step.sent.taken, quicktest.Commentf("response %d", i))
			}
		})
	}
}

// TestDisputeEnds guards against a service whose doubtful events are never asked for again, as the stream that has asked another
// target for one has ended before the answer.
func TestDisputeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		var known Known
		c.Assert(known.dispute(testService), quicktest.IsTrue)
		c.Assert(known.dispute(testService), quicktest.IsFalse)
		c.Assert(known.dispute("other"), quicktest.IsTrue)
		time.Sleep(disputeTimeout)
		c.Assert(known.dispute(testService), quicktest.IsTrue)
		known.settle(testService)
		c.Assert(known.dispute(testService), quicktest.IsTrue)
	})
}

// TestDoubtfulEventIsNotLate checks that an event is held for a bounded time only.
func TestDoubtfulEventIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		var known Known
		r := NewStream(&known, testService, "").NewResponse()
		for _, id := range []string{"1", "2", "3", "4", "9"} {
			events, err := r.Take(event.Event{ID: id}, func() bool { return true })
			c.Assert(err, quicktest.IsNil)
			c.Assert(len(events) == 1, quicktest.Equals, id != "9")
		}
		held := time.Now()
		<-r.Due()
		c.Assert(time.Since(held), quicktest.Equals, maxHold)
		events := r.Release()
		c.Assert(events, quicktest.HasLen, 1)
		c.Assert(events[0].ID, quicktest.Equals, "9")
		c.Assert(r.Due(), quicktest.IsNil)
		events, err := r.Take(event.Event{ID: "11"}, func() bool { return true })
		c.Assert(err, quicktest.IsNil)
		c.Assert(events, quicktest.HasLen, 1)
	})
}
