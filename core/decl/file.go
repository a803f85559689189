package decl

import (
	"encoding/json"
	"fmt"

	"bramleywharf.example/core/conf"
	"github.com/goccy/go-yaml"
)

// File is a declaration file; it holds the objects of each kind by name.
type File struct {
	Models        map[string]json.RawMessage `json:"models"`
	Organisations map[string]json.RawMessage `json:"organisations"`
	Services      map[string]json.RawMessage `json:"services"`
	Targets       map[string]json.RawMessage `json:"targets"`
}

// Object is one valid object of a declaration file, in the encoding that the platform stores.
type Object struct {
	Key conf.Key
	Raw json.RawMessage
}

// Parse reads a declaration file in YAML or JSON.
// It returns the valid objects, and one fault for each other object or for a file that cannot be read.
func Parse(source []byte) ([]Object, []error) {
	raw, err := yaml.YAMLToJSON(source)
	if err != nil {
		return nil, []error{fmt.Errorf("read YAML: %w", err)}
	}
	file, err := decodeStrict[File](raw)
	if err != nil {
		return nil, []error{err}
	}
	var declared []Object
	var faults []error
	for kind, objects := range file.byKind() {
		for name, value := range objects {
			o, err := newObject(kind, name, value)
			if err != nil {
				faults = append(faults, err)
				continue
			}
			declared = append(declared, o)
		}
	}
	return declared, faults
}

// byKind returns the file's objects by kind and name.
func (f File) byKind() map[string]map[string]json.RawMessage {
	return map[string]map[string]json.RawMessage{
		conf.KindModel:        f.Models,
		conf.KindOrganisation: f.Organisations,
		conf.KindService:      f.Services,
		conf.KindTarget:       f.Targets,
	}
}

// newObject checks one object and encodes it as the platform stores it.
func newObject(kind, name string, value json.RawMessage) (Object, error) {
	if !IsValidName(name) {
		return Object{}, fmt.Errorf("%s %q: names are lower-case letters, digits, dots and dashes", kind, name)
	}
	checked, err := DecodeValue(kind, name, value)
	if err != nil {
		return Object{}, err
	}
	raw, err := json.Marshal(checked)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	return Object{Key: conf.Key{Kind: kind, Name: name}, Raw: raw}, nil
}
