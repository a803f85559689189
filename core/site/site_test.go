package site

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestMatch(t *testing.T) {
	c := NewConfig("1", 1, Limits{}).WithRoutes([]Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	})
	cases := map[string]struct {
		host, path, want string
	}{
		"longest":       {"a.example", "/x/y/z", "long"},
		"shorter":       {"a.example", "/x/z", "short"},
		"root":          {"a.example", "/xy", "all"},
		"port-and-case": {"A.example:8080", "/x/", "short"},
		"other-host":    {"b.example", "/x/q", "other"},
		"no-prefix":     {"b.example", "/", ""},
		"no-host":       {"c.example", "/x/", ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := c.Match(test.host, test.path)
			quicktest.Assert(t, ok, quicktest.Equals, test.want != "")
			quicktest.Assert(t, r.Name, quicktest.Equals, test.want)
		})
	}
}

func TestPick(t *testing.T) {
	shares := []Share{{"a", 90}, {"b", 10}, {"c", 0}}
	cases := map[string]struct {
		shares []Share
		draw   float64
		want   string
	}{
		"first":      {shares, 0, "a"},
		"below":      {shares, 0.899, "a"},
		"second":     {shares, 0.901, "b"},
		"last":       {shares, 0.999, "b"},
		"one":        {[]Share{{"a", 1}}, 0.7, "a"},
		"none":       {nil, 0.5, ""},
		"no-weights": {[]Share{{"a", 0}, {"b", 0}}, 0.5, "b"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, Route{Shares: test.shares}.Pick(test.draw), quicktest.Equals, test.want)
		})
	}
}

func TestRoster(t *testing.T) {
	start := time.Unix(1000, 0)
	a := Target{Name: "a", Service: "s", Address: "1", Revision: 1}
	b := Target{Name: "b", Service: "s", Address: "2", Revision: 2}
	leaving := func(t Target) Target { t.Leaving = true; return t }
	successor := Target{Name: "c", Service: "s", Address: "1", Revision: 9}
	type step struct {
		targets []Target
		after   time.Duration
		keep    time.Duration
	}
	cases := map[string]struct {
		steps []step
		want  []string
	}{
		"listed":                    {[]step{{[]Target{a, b}, 0, 0}}, []string{"a", "b"}},
		"leaving-is-closed":         {[]step{{[]Target{a, leaving(b)}, 0, 0}}, []string{"a"}},
		"gone":                      {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, 0, 0}}, []string{"a"}},
		"lapsed-is-kept":            {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}}, []string{"a", "b"}},
		"lapsed-for-too-long":       {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}, {[]Target{a}, 3 * time.Second, 2 * time.Second}}, []string{"a"}},
		"leaving-is-not-kept":       {[]step{{[]Target{a, leaving(b)}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}}, []string{"a"}},
		"successor-of-an-address":   {[]step{{[]Target{a, b, successor}, 0, 0}}, []string{"b", "c"}},
		"successor-ends-the-lapsed": {[]step{{[]Target{a, b}, 0, 0}, {[]Target{b, successor}, time.Second, 2 * time.Second}}, []string{"b", "c"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Roster{}
			for _, s := range test.steps {
				r = r.WithTargets(s.targets, start.Add(s.after), s.keep)
			}
			var got []string
			for _, target := range r.Open("s") {
				got = append(got, target.Name)
			}
			quicktest.Assert(t, got, quicktest.DeepEquals, test.want)
		})
	}
}

func TestMoved(t *testing.T) {
	was := Target{Name: "a", Service: "s", Address: "1", Started: 1}
	cases := map[string]struct {
		now  []Target
		want bool
	}{
		"same":          {[]Target{was}, false},
		"gone":          {nil, true},
		"started-again": {[]Target{{Name: "a", Service: "s", Address: "1", Started: 2}}, true},
		"other-address": {[]Target{{Name: "a", Service: "s", Address: "2", Started: 1}}, true},
		"leaving":       {[]Target{{Name: "a", Service: "s", Address: "1", Started: 1, Leaving: true}}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			old := (&Roster{}).WithTargets([]Target{was}, time.Now(), 0)
			quicktest.Assert(t, old.WithTargets(test.now, time.Now(), 0).Moved(old)["a"], quicktest.Equals, test.want)
		})
	}
}
