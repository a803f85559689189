package sheet

import (
	"os"
	"strings"
	"testing"

	"bramleywharf.example/core/conf"
	"github.com/frankban/quicktest"
)

// good is a sheet without a fault.
const good = `sheet-date,2026-12-04,,,,
organisation,share,priority,ceiling,models,recovery
north,60,5,40,m/a@1 m,latency
south,40,3,20,m,thrift
end,2,,,,
`

// known tells that every organisation but one exists.
func known(name string) bool {
	return name != "stranger" && name != ""
}

func TestParse(t *testing.T) {
	cases := map[string]struct {
		change func(string) string
		faults []string // faults holds the beginning of each fault's text.
	}{
		"good":             {},
		"byte-order-mark":  {change: func(s string) string { return "\uFEFF" + s }},
		"semicolons":       {change: func(s string) string { return strings.ReplaceAll(s, ",", ";") }},
		"decimal-comma":    {change: func(s string) string { return strings.Replace(strings.ReplaceAll(s, ",", ";"), "60", "59,5", 1) }},
		"carriage-returns": {change: func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }},
		"quoted":           {change: func(s string) string { return strings.Replace(s, "north", `"north"`, 1) }},
		"empty-last-rows":  {change: func(s string) string { return s + ",,,,,\n , ,,,,\n\n" }},
		"empty-semicolons": {change: func(s string) string { return strings.ReplaceAll(s, ",", ";") + ";;;;;\n;;;;;\n" }},
		"empty-row-within": {change: func(s string) string { return strings.Replace(s, "south", ",,,,,\nsouth", 1) }, faults: []string{"row 4: row is empty"}},
		"only-empty-rows":  {change: func(string) string { return ",,,\n,,,\n,,,\n,,,\n" }, faults: []string{"sheet is truncated"}},
		"columns-moved":    {change: func(s string) string { return strings.Replace(s, "end,2,,,,", "end,2", 1) }},
		"empty":            {change: func(string) string { return "" }, faults: []string{"sheet is truncated"}},
		"end-missing":      {change: func(s string) string { return strings.Replace(s, "end,2,,,,\n", "", 1) }, faults: []string{"row 4: sheet is truncated"}},
		"row-missing":      {change: func(s string) string { return strings.Replace(s, "south,40,3,20,m,thrift\n", "", 1) }, faults: []string{"row 4, column end"}},
		"column-missing":   {change: func(s string) string { return strings.Replace(s, "ceiling", "top", 1) }, faults: []string{"row 2, column ceiling"}},
		"column-twice":     {change: func(s string) string { return strings.Replace(s, "recovery", "share", 1) }, faults: []string{"row 2, column share", "row 2, column recovery"}},
		"bad-date":         {change: func(s string) string { return strings.Replace(s, "2026-12-04", "4.12.2026", 1) }, faults: []string{"row 1, column sheet-date"}},
		"unknown":          {change: func(s string) string { return strings.Replace(s, "north", "stranger", 1) }, faults: []string{"row 3, column organisation"}},
		"doubled":          {change: func(s string) string { return strings.Replace(s, "south", "north", 1) }, faults: []string{"row 4, column organisation"}},
		"shares-over":      {change: func(s string) string { return strings.Replace(s, "60", "61", 1) }, faults: []string{"shares sum to 101"}},
		"share-not-number": {change: func(s string) string { return strings.Replace(s, "60", "NaN", 1) }, faults: []string{"row 3, column share"}},
		"share-zero":       {change: func(s string) string { return strings.Replace(s, "60", "0", 1) }, faults: []string{"row 3, column share"}},
		"ceiling-zero":     {change: func(s string) string { return strings.Replace(s, "40,m/a", "0,m/a", 1) }, faults: []string{"row 3, column ceiling"}},
		"two-faults":       {change: func(s string) string { return strings.NewReplacer("latency", "fast", "thrift", "slow").Replace(s) }, faults: []string{"row 3, column recovery", "row 4, column recovery"}},
		"no-models":        {change: func(s string) string { return strings.Replace(s, "20,m,", "20,,", 1) }, faults: []string{"row 4, column models"}},
		"open-quote":       {change: func(s string) string { return strings.Replace(s, "north", `"north`, 1) }, faults: []string{"read CSV"}},
		"too-large":        {change: func(s string) string { return s + strings.Repeat("x", MaxSize) }, faults: []string{"sheet has"}},
		"cut-in-mid-row":   {change: func(s string) string { return s[:strings.Index(s, ",thrift")] }, faults: []string{"row 4: sheet is truncated"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			text := good
			if test.change != nil {
				text = test.change(text)
			}
			s, faults := Parse([]byte(text), known)
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
			s, faults := Parse(text, known)
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

func TestAdmit(t *testing.T) {
	cases := map[string]struct {
		standing, next string
		refused        bool
	}{
		"first": {next: "2026-12-04"},
		"newer": {standing: "2026-12-03", next: "2026-12-04"},
		"again": {standing: "2026-12-04", next: "2026-12-04"},
		"older": {standing: "2026-12-05", next: "2026-12-04", refused: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := Admit(conf.Sheet{Date: test.standing}, conf.Sheet{Date: test.next})
			quicktest.New(t).Assert(err != nil, quicktest.Equals, test.refused)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("\uFEFFsheet-date;2026-12-04\r\norganisation;share\r\nend;0\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := Parse(text, known)
		if len(faults) > 0 {
			return
		}
		sum := 0.0
		for _, l := range s.Limits {
			sum += l.Share
			if !(l.Share > 0) || l.Ceiling < 1 || !known(l.Organisation) {
				t.Errorf("accepted %+v", l)
			}
		}
		if sum > maxShares {
			t.Errorf("accepted shares of %g", sum)
		}
	})
}
