package decl

import (
	"bytes"
	"encoding/json"
	"fmt"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
)

// ErrUnknownKind is returned for an object whose kind is not a kind of configuration.
var ErrUnknownKind = errors.New("unknown kind of configuration object")

// DecodeEntries converts stored objects to configuration entries.
// It leaves out invalid objects and returns an error for each of them.
func DecodeEntries(objects []store.Object) ([]conf.Entry, []error) {
	var entries []conf.Entry
	var faults []error
	for _, o := range objects {
		e, err := DecodeEntry(o)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, faults
}

// DecodeEntry converts one stored object to a configuration entry.
func DecodeEntry(o store.Object) (conf.Entry, error) {
	e := conf.Entry{
		Key:      conf.Key{Kind: o.Kind, Name: o.Name},
		Revision: conf.Revision(o.Revision),
		Deleted:  o.Deleted,
		Raw:      o.Value,
	}
	if o.Deleted {
		return e, nil
	}
	value, err := DecodeValue(o.Kind, o.Name, o.Value)
	if err != nil {
		return e, err
	}
	e.Value = value
	return e, nil
}

// DecodeValue decodes and checks the value of one object.
func DecodeValue(kind, name string, raw []byte) (conf.Value, error) {
	var value conf.Value
	var err error
	switch kind {
	case conf.KindModel:
		value, err = decodeStrict[conf.Model](raw)
	case conf.KindOrganisation:
		value, err = decodeStrict[conf.Organisation](raw)
	case conf.KindService:
		value, err = decodeStrict[conf.Service](raw)
	case conf.KindSheet:
		value, err = decodeStrict[conf.Sheet](raw)
	case conf.KindTarget:
		value, err = decodeStrict[conf.Target](raw)
	default:
		err = ErrUnknownKind
	}
	if err != nil {
		return nil, fmt.Errorf("decode %s/%s: %w", kind, name, err)
	}
	if t, ok := value.(conf.Target); ok {
		t.Name = name
		value = t
	}
	if err := Validate(value); err != nil {
		return nil, fmt.Errorf("check %s/%s: %w", kind, name, err)
	}
	return value, nil
}

// decodeStrict decodes JSON and rejects unknown fields, so that a misspelt field is not silently left at its default.
func decodeStrict[T any](raw []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, fmt.Errorf("read JSON: %w", err)
	}
	return value, nil
}
