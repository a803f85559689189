package sheet

import (
	"os"
	"strings"
	"testing"

	"bramleywharf.example/core/conf"
	"github.com/frankban/quicktest"
)

// validSheet is a sheet without a fault.
const validSheet = `sheet-date,2026-12-04,,,,
organisation,share,priority,ceiling,models,recovery
north,60,5,40,m/a@1 m,latency
south,40,3,20,m,thrift
end,2,,,,
`

// exists reports every organisation as existing, except for "stranger" and an empty name.
func exists(name string) bool {
	return name != "stranger" && name != ""
}

func TestParse(t *testing.T) {
	cases := map[string]struct {
		edit   func(string) string
		faults []string // The prefixes of the expected faults.
	}{
		"valid":                           {},
		"byte-order-mark":                 {edit: func(s string) string { return "\uFEFF" + s }},
		"semicolons":                      {edit: func(s string) string { return strings.ReplaceAll(s, ",", ";") }},
		"decimal-comma":                   {edit: func(s string) string { return strings.Replace(strings.ReplaceAll(s, ",", ";"), "60", "59,5", 1) }},
		"carriage-returns":                {edit: func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }},
		"quoted-cell":                     {edit: func(s string) string { return strings.Replace(s, "north", `"north"`, 1) }},
		"empty-last-rows":                 {edit: func(s string) string { return s + ",,,,,\n , ,,,,\n\n" }},
		"empty-last-rows-with-semicolons": {edit: func(s string) string { return strings.ReplaceAll(s, ",", ";") + ";;;;;\n;;;;;\n" }},
		"empty-row-within":                {edit: func(s string) string { return strings.Replace(s, "south", ",,,,,\nsouth", 1) }, faults: []string{"row 4: row is empty"}},
		"only-empty-rows":                 {edit: func(string) string { return ",,,\n,,,\n,,,\n,,,\n" }, faults: []string{"sheet is truncated"}},
		"short-end-row":                   {edit: func(s string) string { return strings.Replace(s, "end,2,,,,", "end,2", 1) }},
		"empty":                           {edit: func(string) string { return "" }, faults: []string{"sheet is truncated"}},
		"end-missing":                     {edit: func(s string) string { return strings.Replace(s, "end,2,,,,\n", "", 1) }, faults: []string{"row 4: sheet is truncated"}},
		"row-missing":                     {edit: func(s string) string { return strings.Replace(s, "south,40,3,20,m,thrift\n", "", 1) }, faults: []string{"row 4, column end"}},
		"column-missing":                  {edit: func(s string) string { return strings.Replace(s, "ceiling", "top", 1) }, faults: []string{"row 2, column ceiling"}},
		"duplicate-column":                {edit: func(s string) string { return strings.Replace(s, "recovery", "share", 1) }, faults: []string{"row 2, column share", "row 2, column recovery"}},
		"bad-date":                        {edit: func(s string) string { return strings.Replace(s, "2026-12-04", "4.12.2026", 1) }, faults: []string{"row 1, column sheet-date"}},
		"unknown-organisation":            {edit: func(s string) string { return strings.Replace(s, "north", "stranger", 1) }, faults: []string{"row 3, column organisation"}},
		"duplicate-organisation":          {edit: func(s string) string { return strings.Replace(s, "south", "north", 1) }, faults: []string{"row 4, column organisation"}},
		"shares-over-100":                 {edit: func(s string) string { return strings.Replace(s, "60", "61", 1) }, faults: []string{"shares sum to 101"}},
		"share-not-number":                {edit: func(s string) string { return strings.Replace(s, "60", "NaN", 1) }, faults: []string{"row 3, column share"}},
		"share-zero":                      {edit: func(s string) string { return strings.Replace(s, "60", "0", 1) }, faults: []string{"row 3, column share"}},
		"ceiling-zero":                    {edit: func(s string) string { return strings.Replace(s, "40,m/a", "0,m/a", 1) }, faults: []string{"row 3, column ceiling"}},
		"two-faults":                      {edit: func(s string) string { return strings.NewReplacer("latency", "fast", "thrift", "slow").Replace(s) }, faults: []string{"row 3, column recovery", "row 4, column recovery"}},
		"no-models":                       {edit: func(s string) string { return strings.Replace(s, "20,m,", "20,,", 1) }, faults: []string{"row 4, column models"}},
		"open-quote":                      {edit: func(s string) string { return strings.Replace(s, "north", `"north`, 1) }, faults: []string{"read CSV"}},
		"too-large":                       {edit: func(s string) string { return s + strings.Repeat("x", MaxBytes) }, faults: []string{"sheet has"}},
		"cut-within-a-row":                {edit: func(s string) string { return s[:strings.Index(s, ",thrift")] }, faults: []string{"row 4: sheet is truncated"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			text := validSheet
			if test.edit != nil {
				text = test.edit(text)
			}
			s, faults := Parse([]byte(text), exists)
			c.Assert(len(faults), quicktest.Equals, len(test.faults), quicktest.Commentf("%v", faults))
			for i, want := range test.faults {
				c.Assert(strings.HasPrefix(faults[i].Error(), want), quicktest.IsTrue, quicktest.Commentf("%s", faults[i].Error()))
			}
			if len(faults) == 0 {
				c.Assert(len(s.Limits), quicktest.Equals, 2)
			} else {
				c.Assert(s, quicktest.DeepEquals, conf.Sheet{})
			}
		})
	}
}

func TestParseExamples(t *testing.T) {
	for name, file := range map[string]string{"cleatcraft": "../../examples/cleatcraft/sheet.csv", "regie": "../../examples/regie/sheet.csv"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			text, err := os.ReadFile(file)
			c.Assert(err, quicktest.IsNil)
			s, faults := Parse(text, exists)
			c.Assert(faults, quicktest.HasLen, 0)
			c.Assert(s.Limits, quicktest.HasLen, 2)
		})
	}
}

func TestDiff(t *testing.T) {
	base := conf.Sheet{Date: "2026-12-04", Limits: []conf.Limit{{Organisation: "a", Share: 1, Ceiling: 1}, {Organisation: "b", Share: 2, Ceiling: 2}}}
	cases := map[string]struct {
		to   conf.Sheet
		want []string
	}{
		"same":    {to: base},
		"added":   {to: conf.Sheet{Limits: append(base.Limits[:2:2], conf.Limit{Organisation: "c"})}, want: []string{"+ c"}},
		"removed": {to: conf.Sheet{Limits: base.Limits[1:]}, want: []string{"- a"}},
		"altered": {to: conf.Sheet{Limits: []conf.Limit{{Organisation: "a", Share: 1, Ceiling: 9}, base.Limits[1]}}, want: []string{"~ a"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			changes := Diff(base, test.to)
			c.Assert(len(changes), quicktest.Equals, len(test.want))
			for i, want := range test.want {
				c.Assert(strings.HasPrefix(changes[i].String(), want+":"), quicktest.IsTrue)
			}
		})
	}
}

func TestCheckNotOlder(t *testing.T) {
	cases := map[string]struct {
		current, next string
		rejected      bool
	}{
		"first":     {next: "2026-12-04"},
		"newer":     {current: "2026-12-03", next: "2026-12-04"},
		"same-date": {current: "2026-12-04", next: "2026-12-04"},
		"older":     {current: "2026-12-05", next: "2026-12-04", rejected: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckNotOlder(conf.Sheet{Date: test.current}, conf.Sheet{Date: test.next})
			quicktest.New(t).Assert(err != nil, quicktest.Equals, test.rejected)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSheet))
	f.Add([]byte("\uFEFFsheet-date;2026-12-04\r\norganisation;share\r\nend;0\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := Parse(text, exists)
		if len(faults) > 0 {
			return
		}
		sum := 0.0
		for _, l := range s.Limits {
			sum += l.Share
			if !(l.Share > 0) || l.Ceiling < 1 || !exists(l.Organisation) {
				t.Errorf("accepted %+v", l)
			}
		}
		if sum > maxShareSum {
			t.Errorf("accepted shares of %g", sum)
		}
	})
}
