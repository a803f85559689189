package decl

import (
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	cases := map[string]struct {
		text    string
		objects int
		fault   string // A part of the only fault, or empty if there is none.
	}{
		"empty":                          {text: "{}"},
		"model":                          {text: `models: {m: {versions: ["1"], default-version: "1"}}`, objects: 1},
		"json":                           {text: `{"services": {"s": {"calls": [{"method": "POST", "path": "/x", "non-idempotent": true}]}}}`, objects: 1},
		"unknown-kind":                   {text: `pods: {}`, fault: `unknown field "pods"`},
		"unknown-field":                  {text: `models: {m: {version: ["1"]}}`, fault: `unknown field "version"`},
		"default-is-no-version":          {text: `models: {m: {versions: ["1"], default-version: "2"}}`, fault: "default-version"},
		"no-version":                     {text: `models: {m: {}}`, fault: "at least one version"},
		"bad-name":                       {text: `models: {"M m": {versions: ["1"], default-version: "1"}}`, fault: "lower-case"},
		"target-with-models-and-service": {text: `targets: {t: {address: "127.0.0.1:1", failure-domain: d, models: [m], service: s}}`, fault: "either models or a service"},
		"target-no-port":                 {text: `targets: {t: {address: "x", failure-domain: d, models: [m]}}`, fault: "missing port"},
		"relative-path":                  {text: `services: {s: {calls: [{method: GET, path: x}]}}`, fault: "begins with /"},
		"short-hash":                     {text: `organisations: {o: {key-hash: "12"}}`, fault: "64 hexadecimal"},
		"not-yaml":                       {text: "models: [", fault: "read YAML"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			objects, faults := Parse([]byte(test.text))
			c.Assert(objects, quicktest.HasLen, test.objects)
			if test.fault == "" {
				c.Assert(faults, quicktest.HasLen, 0)
				return
			}
			c.Assert(faults, quicktest.HasLen, 1)
			c.Assert(strings.Contains(faults[0].Error(), test.fault), quicktest.IsTrue, quicktest.Commentf("%v", faults[0]))
		})
	}
}

func TestParseExamples(t *testing.T) {
	for name, file := range map[string]string{"cleatcraft": "cleatcraft", "regie": "regie"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			text, err := os.ReadFile("../../examples/" + file + "/declarations.yaml")
			c.Assert(err, quicktest.IsNil)
			objects, faults := Parse(text)
			c.Assert(faults, quicktest.HasLen, 0)
			c.Assert(len(objects) > 4, quicktest.IsTrue)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`models: {m: {versions: ["1"], default-version: "1"}}`))
	f.Add([]byte("targets:\n  t: {address: \"127.0.0.1:1\", failure-domain: d, models: [m]}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		objects, _ := Parse(text)
		for _, o := range objects {
			if _, err := DecodeValue(o.Key.Kind, o.Key.Name, o.Raw); err != nil {
				t.Errorf("accepted %s/%s and cannot read it back: %v", o.Key.Kind, o.Key.Name, err)
			}
		}
	})
}
