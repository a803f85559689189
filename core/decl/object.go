package decl

import (
	"bytes"
	"encoding/json"
	"fmt"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
)

// ErrKind is returned for a kind of object that is not configuration.
var ErrKind = errors.New("unknown kind of configuration object")

// Entries turns stored objects into configuration entries; objects that cannot be read are returned as errors and left out.
func Entries(objects []store.Object) ([]conf.Entry, []error) {
	var entries []conf.Entry
	var faults []error
	for _, o := range objects {
		e, err := Entry(o)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, faults
}

// Entry turns one stored object into a configuration entry.
func Entry(o store.Object) (conf.Entry, error) {
	e := conf.Entry{
		Key:      conf.Key{Kind: o.Kind, Name: o.Name},
		Revision: conf.Revision(o.Revision),
		Deleted:  o.Deleted,
		Raw:      o.Value,
	}
	if o.Deleted {
		return e, nil
	}
	value, err := Value(o.Kind, o.Name, o.Value)
	if err != nil {
		return e, err
	}
	e.Value = value
	return e, nil
}

// Value decodes and checks the value of one object.
func Value(kind, name string, raw []byte) (conf.Value, error) {
	var value conf.Value
	var err error
	switch kind {
	case conf.KindModel:
		value, err = decode[conf.Model](raw)
	case conf.KindOrganisation:
		value, err = decode[conf.Organisation](raw)
	case conf.KindService:
		value, err = decode[conf.Service](raw)
	case conf.KindSheet:
		value, err = decode[conf.Sheet](raw)
	case conf.KindTarget:
		value, err = decode[conf.Target](raw)
	default:
		err = ErrKind
	}
	if err != nil {
		return nil, fmt.Errorf("decode %s/%s: %w", kind, name, err)
	}
	if t, ok := value.(conf.Target); ok {
		t.Name = name
		value = t
	}
	if err := Check(value); err != nil {
		return nil, fmt.Errorf("check %s/%s: %w", kind, name, err)
	}
	return value, nil
}

// decode reads JSON strictly, so that a misspelt field is an error and not a default.
func decode[T any](raw []byte) (T, error) {
	var value T
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&value); err != nil {
		return value, fmt.Errorf("read JSON: %w", err)
	}
	return value, nil
}
