package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/store"
	"github.com/pkg/errors"
)

// KindRecord is the kind of the platform objects that hold records.
const KindRecord = "audit"

// Outcome is the result of a change.
type Outcome string

// The outcomes of a change.
const (
	Proposed Outcome = "proposed" // Proposed is a change whose result was not recorded.
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused" // Refused is a change of an object that had changed since From.
)

// Record is one change of one object.
type Record struct {
	ID      string    `json:"id"` // ID is the write id of the change.
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	From    uint64    `json:"from"` // From is the revision that the change was based on; 0 creates the object.
	To      uint64    `json:"to,omitempty"`
	Outcome Outcome   `json:"outcome"`
	Changes []string  `json:"changes,omitempty"`
}

// Trail changes objects and records each change.
type Trail struct {
	store store.Store
}

// NewTrail returns a trail that is kept in a store.
func NewTrail(s store.Store) *Trail {
	return &Trail{store: store.Verifying{Store: s}}
}

// Apply writes an object on behalf of a person and records the change.
// The error wraps the store's, such as store.ErrOutcomeUnknown, or store.ErrConflict if the object has changed since
// o.Revision.
func (t *Trail) Apply(ctx context.Context, who string, o store.Object, changes []string) (Record, error) {
	r := Record{
		ID:      cursor.NewID(),
		At:      time.Now().UTC().Truncate(time.Millisecond),
		Who:     who,
		Kind:    o.Kind,
		Name:    o.Name,
		From:    o.Revision,
		Outcome: Proposed,
		Changes: changes,
	}
	stored, err := t.putRecord(ctx, store.Object{Kind: KindRecord, Name: recordName(r)}, r)
	if err != nil {
		return r, fmt.Errorf("record the change before making it: %w", err)
	}
	o.WriteID = r.ID
	r.To, err = t.store.Put(ctx, o)
	switch {
	case err == nil:
		r.Outcome = Accepted
	case errors.Is(err, store.ErrConflict):
		r.Outcome = Refused
	default:
		return r, err
	}
	if _, closeErr := t.putRecord(ctx, stored, r); closeErr != nil && err == nil {
		return r, nil // The change was made; History derives its outcome from the write id.
	}
	return r, err
}

// History returns the records of an object, oldest first.
// An empty name matches all objects of the kind, an empty kind all objects.
func (t *Trail) History(ctx context.Context, kind, name string) ([]Record, error) {
	page, err := t.store.List(ctx, append(conf.Kinds(), KindRecord))
	if err != nil {
		return nil, fmt.Errorf("read the trail: %w", err)
	}
	objectByWriteID := make(map[string]store.Object)
	var records []Record
	for _, o := range page.Objects {
		if o.Kind != KindRecord {
			objectByWriteID[o.WriteID] = o
			continue
		}
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return nil, fmt.Errorf("decode record %s: %w", o.Name, err)
		}
		if kind == "" || (r.Kind == kind && (name == "" || r.Name == name)) {
			records = append(records, r)
		}
	}
	for i, r := range records {
		if o, ok := objectByWriteID[r.ID]; ok && r.Outcome == Proposed {
			records[i].Outcome, records[i].To = Accepted, o.Revision
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(recordName(a), recordName(b)) })
	return records, nil
}

// putRecord writes a record as the value of o and returns the object at its new revision.
func (t *Trail) putRecord(ctx context.Context, o store.Object, r Record) (store.Object, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return o, fmt.Errorf("encode record: %w", err)
	}
	next := o.WithValue(cursor.NewID(), raw)
	next.Revision, err = t.store.Put(ctx, next)
	return next, err
}

// recordName returns the name of a record's object; names sort by time.
func recordName(r Record) string {
	return r.At.Format("20060102t150405.000") + "-" + strings.ToLower(r.ID)
}
