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
		"longest-prefix": {"a.example", "/x/y/z", "long"},
		"shorter-prefix": {"a.example", "/x/z", "short"},
		"root":           {"a.example", "/xy", "all"},
		"port-and-case":  {"A.example:8080", "/x/", "short"},
		"other-host":     {"b.example", "/x/q", "other"},
		"unmatched-path": {"b.example", "/", ""},
		"unknown-host":   {"c.example", "/x/", ""},
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
		"draw-of-zero":            {shares, 0, "a"},
		"just-below-first-weight": {shares, 0.899, "a"},
		"just-above-first-weight": {shares, 0.901, "b"},
		"zero-weight-is-skipped":  {shares, 0.999, "b"},
		"one-service":             {[]Share{{"a", 1}}, 0.7, "a"},
		"no-service":              {nil, 0.5, ""},
		"no-weights":              {[]Share{{"a", 0}, {"b", 0}}, 0.5, "b"},
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
		targets   []Target
		elapsed   time.Duration
		retention time.Duration
	}
	cases := map[string]struct {
		steps []step
		want  []string
	}{
		"listed":                      {[]step{{[]Target{a, b}, 0, 0}}, []string{"a", "b"}},
		"leaving-gets-no-work":        {[]step{{[]Target{a, leaving(b)}, 0, 0}}, []string{"a"}},
		"missing":                     {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, 0, 0}}, []string{"a"}},
		"missing-is-retained":         {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}}, []string{"a", "b"}},
		"missing-for-too-long":        {[]step{{[]Target{a, b}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}, {[]Target{a}, 3 * time.Second, 2 * time.Second}}, []string{"a"}},
		"leaving-is-not-retained":     {[]step{{[]Target{a, leaving(b)}, 0, 0}, {[]Target{a}, time.Second, 2 * time.Second}}, []string{"a"}},
		"newer-at-same-address":       {[]step{{[]Target{a, b, successor}, 0, 0}}, []string{"b", "c"}},
		"newer-at-address-of-missing": {[]step{{[]Target{a, b}, 0, 0}, {[]Target{b, successor}, time.Second, 2 * time.Second}}, []string{"b", "c"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Roster{}
			for _, s := range test.steps {
				r = r.WithTargets(s.targets, start.Add(s.elapsed), s.retention)
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
	before := Target{Name: "a", Service: "s", Address: "1", Started: 1}
	cases := map[string]struct {
		targets []Target
		want    bool
	}{
		"same":          {[]Target{before}, false},
		"removed":       {nil, true},
		"restarted":     {[]Target{{Name: "a", Service: "s", Address: "1", Started: 2}}, true},
		"other-address": {[]Target{{Name: "a", Service: "s", Address: "2", Started: 1}}, true},
		"leaving":       {[]Target{{Name: "a", Service: "s", Address: "1", Started: 1, Leaving: true}}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			old := (&Roster{}).WithTargets([]Target{before}, time.Now(), 0)
			quicktest.Assert(t, old.WithTargets(test.targets, time.Now(), 0).Moved(old)["a"], quicktest.Equals, test.want)
		})
	}
}
