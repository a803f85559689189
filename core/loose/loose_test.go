package loose

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func TestItems(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	cases := map[string]struct {
		raw  string
		want []string
		ok   bool
	}{
		"empty":             {" [ ] ", nil, true},
		"scalars":           {`[1, true,null , 1e999,"a,]b"]`, []string{"1", "true", "null", "1e999", `"a,]b"`}, true},
		"objects":           {`[{"a":[1,2]},{"b":"}"}]`, []string{`{"a":[1,2]}`, `{"b":"}"}`}, true},
		"escaped-quote":     {`["a\"],[",2]`, []string{`"a\"],["`, "2"}, true},
		"deeply-nested":     {"[1," + deep + ",2]", []string{"1", deep, "2"}, true},
		"part-is-no-json":   {"[1,{nothing \x00 known},2]", []string{"1", "{nothing \x00 known}", "2"}, true},
		"object":            {`{"a":1}`, nil, false},
		"null":              {`null`, nil, false},
		"nothing":           {``, nil, false},
		"one-bracket":       {`[`, nil, false},
		"string-is-open":    {`["a]`, nil, false},
		"bracket-is-open":   {`[[1]`, nil, false},
		"bracket-is-closed": {`[1]]`, nil, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			items, ok := Items([]byte(test.raw))
			var got []string
			for _, item := range items {
				got = append(got, string(item))
			}
			quicktest.Assert(t, ok, quicktest.Equals, test.ok)
			quicktest.Assert(t, got, quicktest.DeepEquals, test.want)
		})
	}
}

func TestFields(t *testing.T) {
	cases := map[string]struct {
		raw  string
		want map[string]string
		ok   bool
	}{
		"empty":          {`{}`, map[string]string{}, true},
		"fields":         {` {"a" : 1 , "b":{"c":[2,"}"]}} `, map[string]string{"a": "1", "b": `{"c":[2,"}"]}`}, true},
		"escaped-name":   {`{"\u0061":1}`, map[string]string{"a": "1"}, true},
		"same-name":      {`{"a":1,"a":2}`, map[string]string{"a": "2"}, true},
		"no-value":       {`{"a"}`, nil, false},
		"name-is-number": {`{1:2}`, nil, false},
		"list":           {`[1]`, nil, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fields, ok := Fields([]byte(test.raw))
			quicktest.Assert(t, ok, quicktest.Equals, test.ok)
			quicktest.Assert(t, len(fields), quicktest.Equals, len(test.want))
			for name, want := range test.want {
				quicktest.Assert(t, string(fields[name]), quicktest.Equals, want)
			}
		})
	}
}

func TestWhole(t *testing.T) {
	cases := map[string]struct {
		number float64
		want   int64
		ok     bool
	}{
		"zero":         {0, 0, true},
		"negative":     {-7, -7, true},
		"milliseconds": {1700000000000, 1700000000000, true},
		"fraction":     {17.5, 0, false},
		"over-int64":   {1 << 63, 0, false},
		"huge":         {1e300, 0, false},
		"huge-below":   {-1e300, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := Whole(test.number)
			quicktest.Assert(t, ok, quicktest.Equals, test.ok)
			quicktest.Assert(t, got, quicktest.Equals, test.want)
		})
	}
}

// FuzzItems checks that a valid list is split into the elements that encoding/json finds, and that no input panics.
func FuzzItems(f *testing.F) {
	for _, seed := range []string{`[]`, `[1,"a,]",{"b":[2]}]`, `["\\",2]`, `{"a":1}`, `[`, `[1]]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		items, ok := Items(raw)
		_, _ = Fields(raw)
		var want []json.RawMessage
		if json.Unmarshal(raw, &want) != nil || want == nil {
			return
		}
		if !ok || len(items) != len(want) {
			t.Fatalf("%d elements of %q, want %d", len(items), raw, len(want))
		}
		for i := range want {
			if string(items[i]) != string(want[i]) {
				t.Fatalf("element %d is %q, want %q", i, items[i], want[i])
			}
		}
	})
}
