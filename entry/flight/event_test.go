package flight

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"
)

func TestEvents(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 3*eventBuffer) + "\n\n"
	cases := map[string]struct {
		stream string
		events []string // events holds the whole events.
		ids    []string
		err    error // err ends the stream.
	}{
		"empty":              {stream: "", err: io.EOF},
		"two-events":         {stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, ids: []string{"1", "2"}, err: io.EOF},
		"carriage-returns":   {stream: "id: 1\r\ndata: a\r\n\r\n", events: []string{"id: 1\r\ndata: a\r\n\r\n"}, ids: []string{"1"}, err: io.EOF},
		"many-data-lines":    {stream: "data: a\ndata: b\nid:7\n\n", events: []string{"data: a\ndata: b\nid:7\n\n"}, ids: []string{"7"}, err: io.EOF},
		"without-id":         {stream: "data: a\n\n", events: []string{"data: a\n\n"}, ids: []string{""}, err: io.EOF},
		"cut-within-a-line":  {stream: "id: 1\ndata: a\n\nid: 2\nda", events: []string{"id: 1\ndata: a\n\n"}, ids: []string{"1"}, err: io.ErrUnexpectedEOF},
		"cut-after-a-line":   {stream: "id: 1\ndata: a\n\nid: 2\n", events: []string{"id: 1\ndata: a\n\n"}, ids: []string{"1"}, err: io.ErrUnexpectedEOF},
		"larger-than-buffer": {stream: long + "id: 2\n\n", events: []string{long, "id: 2\n\n"}, ids: []string{"1", "2"}, err: io.EOF},
		"too-large":          {stream: "data: " + strings.Repeat("x", maxEvent) + "\n\n", err: errEvent},
		"too-many-lines":     {stream: strings.Repeat("data: x\n", maxEvent/8+1) + "\n", err: errEvent},
	}
	readers := map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "by-bytes": iotest.OneByteReader}
	for name, test := range cases {
		for how, reader := range readers {
			t.Run(name+"/"+how, func(t *testing.T) {
				c := quicktest.New(t)
				e := newEvents(reader(strings.NewReader(test.stream)))
				var events, ids []string
				var err error
				for err == nil {
					var ev event
					if ev, err = e.next(); err == nil {
						events, ids = append(events, string(ev.raw)), append(ids, ev.id)
					}
				}
				c.Assert(err, quicktest.Equals, test.err)
				c.Assert(events, quicktest.DeepEquals, test.events)
				c.Assert(ids, quicktest.DeepEquals, test.ids)
			})
		}
	}
}

func TestFollows(t *testing.T) {
	cases := map[string]struct {
		last, id string
		want     bool
	}{
		"first":        {last: "", id: "1", want: true},
		"next":         {last: "41", id: "42", want: true},
		"again":        {last: "41", id: "41"},
		"gap":          {last: "41", id: "43"},
		"back":         {last: "41", id: "1"},
		"no-number":    {last: "a", id: "b", want: true},
		"id-left-out":  {last: "41", id: "", want: true},
		"resumed-late": {last: "0", id: "1", want: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, follows(test.last, test.id), quicktest.Equals, test.want)
		})
	}
}
