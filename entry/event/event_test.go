package event

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"
)

func TestEvents(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 3*bufferSize) + "\n\n"
	cases := map[string]struct {
		stream string
		events []string // whole events that are read
		ids    []string // their ids
		err    error    // returned after the last of them
	}{
		"empty":                {stream: "", err: io.EOF},
		"two-events":           {stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, ids: []string{"1", "2"}, err: io.EOF},
		"carriage-returns":     {stream: "id: 1\r\ndata: a\r\n\r\n", events: []string{"id: 1\r\ndata: a\r\n\r\n"}, ids: []string{"1"}, err: io.EOF},
		"many-data-lines":      {stream: "data: a\ndata: b\nid:7\n\n", events: []string{"data: a\ndata: b\nid:7\n\n"}, ids: []string{"7"}, err: io.EOF},
		"without-id":           {stream: "data: a\n\n", events: []string{"data: a\n\n"}, ids: []string{""}, err: io.EOF},
		"ends-within-a-line":   {stream: "id: 1\ndata: a\n\nid: 2\nda", events: []string{"id: 1\ndata: a\n\n"}, ids: []string{"1"}, err: io.ErrUnexpectedEOF},
		"ends-after-a-line":    {stream: "id: 1\ndata: a\n\nid: 2\n", events: []string{"id: 1\ndata: a\n\n"}, ids: []string{"1"}, err: io.ErrUnexpectedEOF},
		"larger-than-buffer":   {stream: long + "id: 2\n\n", events: []string{long, "id: 2\n\n"}, ids: []string{"1", "2"}, err: io.EOF},
		"too-large":            {stream: "data: " + strings.Repeat("x", maxSize) + "\n\n", err: ErrTooLarge},
		"comments":             {stream: ": a\n\nid: 1\n: b\ndata: a\n\n\n\n:c\n\nid: 2\n\n: d\n\n", events: []string{": a\n\nid: 1\n: b\ndata: a\n\n", "\n\n:c\n\nid: 2\n\n"}, ids: []string{"1", "2"}, err: io.EOF},
		"comments-only":        {stream: ": a\n\n\n: b\n", err: io.EOF},
		"ends-within-id":       {stream: ": a\n\nid: 1", err: io.ErrUnexpectedEOF},
		"long-line-of-an-id":   {stream: "data: " + strings.Repeat("x", bufferSize-6) + "id:9\nid: 1\n\n", events: []string{"data: " + strings.Repeat("x", bufferSize-6) + "id:9\nid: 1\n\n"}, ids: []string{"1"}, err: io.EOF},
		"endless-blank-lines":  {stream: strings.Repeat("\n", maxSize+1), err: ErrTooLarge},
		"endless-comments":     {stream: strings.Repeat(": x\n\n", maxSize/5+1), err: ErrTooLarge},
		"too-many-lines":       {stream: strings.Repeat("data: x\n", maxSize/8+1) + "\n", err: ErrTooLarge},
		"head-of-a-response":   {stream: "id: 1\n\nHTTP/1.1 503 Service Unavailable\r\n\r\n", events: []string{"id: 1\n\n"}, ids: []string{"1"}, err: ErrForeign},
		"header-in-an-event":   {stream: "id: 1\ndata: aHTTP/1.1 503 Service Unavailable\nContent-Length: 4\n\n", err: ErrForeign},
		"other-line-end":       {stream: "id: 1\ndata: aHTTP/1.1 503 Service Unavailable\r\n\r\n", err: ErrForeign},
		"text":                 {stream: "target is down\n\n", err: ErrForeign},
		"json":                 {stream: "{\"error\": 1}\n\n", err: ErrForeign},
		"text-like-a-field":    {stream: "error: target is down\n\n", err: ErrForeign},
		"own-field-comes-last": {stream: "id: 1\nerror: target is down\n\n", err: ErrForeign},
		"own-field-first":      {stream: "x-own: 2\nid: 1\n\n", events: []string{"x-own: 2\nid: 1\n\n"}, ids: []string{"1"}, err: io.EOF},
		"field-without-value":  {stream: "id: 1\ndata\n\n", events: []string{"id: 1\ndata\n\n"}, ids: []string{"1"}, err: io.EOF},
	}
	readers := map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "byte-by-byte": iotest.OneByteReader}
	for name, test := range cases {
		for readerName, wrap := range readers {
			t.Run(name+"/"+readerName, func(t *testing.T) {
				c := quicktest.New(t)
				reader := NewReader(wrap(strings.NewReader(test.stream)))
				var events, ids []string
				var err error
				for err == nil {
					var e Event
					if e, err = reader.Next(); err == nil {
						events, ids = append(events, string(e.Raw)), append(ids, e.ID)
					}
				}
				c.Assert(err, quicktest.Equals, test.err)
				c.Assert(events, quicktest.DeepEquals, test.events)
				c.Assert(ids, quicktest.DeepEquals, test.ids)
			})
		}
	}
}
