package stored

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/entry/board"
	"bramleywharf.example/entry/shift"
	"github.com/pkg/errors"
)

// Errors of the calls of Records.
var (
	ErrConflict = errors.New("object changed in the store since it was read")
	ErrMissing  = errors.New("object is not in the store")
)

// Records holds objects with values of this program, by kind and name; each call is one attempt.
type Records interface {
	// Get reads an object into a value and returns its revision, or ErrMissing.
	Get(ctx context.Context, kind, name string, value any) (uint64, error)
	// Create stores a new object and returns its revision, or ErrConflict if there is one of that name.
	Create(ctx context.Context, kind, name string, value any) (uint64, error)
	// Replace stores a new value and returns its revision; it returns ErrConflict if the object has another revision than
	// the given one, and ErrMissing if there is none.
	Replace(ctx context.Context, kind, name string, revision uint64, value any) (uint64, error)
}

// stateValue is the stored encoding of the state of a roll-out; the revision is that of its object.
type stateValue struct {
	Service  string        `json:"service"`
	To       string        `json:"to"`
	Order    uint64        `json:"order"`
	Duration time.Duration `json:"duration-ns"`
	Phase    canary.Phase  `json:"phase"`
	Share    float64       `json:"share"`
	Stage    int           `json:"stage"`
	Elapsed  time.Duration `json:"elapsed-ns"`
	MovedAt  time.Duration `json:"moved-at-ns"`
	From     []string      `json:"from,omitempty"`
	Barred   []string      `json:"barred,omitempty"`
	Revision uint64        `json:"-"`
}

// DecodeState decodes the state of a roll-out.
func DecodeState(o mirror.Object) (canary.State, error) {
	var value stateValue
	if err := json.Unmarshal(o.Raw, &value); err != nil {
		return canary.State{}, fmt.Errorf("decode state of a roll-out: %w", err)
	}
	if value.Service != o.Name || value.To == "" {
		return canary.State{}, errors.Errorf("state names service %.40q and version %.40q", value.Service, value.To)
	}
	return canary.State(value).WithRevision(o.Revision), nil
}

// Orders is this instance's copy of the roll-out orders.
type Orders struct {
	*board.Copies[canary.Order]
}

var _ shift.Orders = Orders{}

// Orders returns all valid orders.
func (c Orders) Orders() []canary.Order {
	era, orders := c.View().Era(), c.All()
	for i := range orders {
		orders[i].Revision = position(era, orders[i].Revision)
	}
	return orders
}

// States is this instance's copy of the states of the roll-outs, and their store.
type States struct {
	*board.Copies[canary.State]
	Kind    string  // Kind is the kind of the objects that hold states.
	Records Records // Records stores them.
	// StoreStatus stores the status of an order unless the order has changed.
	StoreStatus func(context.Context, canary.Order, canary.Status) error
}

var _ shift.States = States{}

// States returns the copies of all valid states.
func (s States) States() []canary.State {
	era, states := s.View().Era(), s.All()
	for i, state := range states {
		states[i] = state.WithRevision(position(era, state.Revision))
	}
	return states
}

// Load reads the state of a service from the store, and returns false if there is none.
func (s States) Load(ctx context.Context, service string) (canary.State, bool, error) {
	var value stateValue
	revision, err := s.Records.Get(ctx, s.Kind, service, &value)
	if errors.Is(err, ErrMissing) {
		return canary.State{}, false, nil
	}
	return canary.State(value).WithRevision(position(s.View().Era(), revision)), err == nil, err
}

// Save stores a state in place of the one of its revision, or as a new one, and returns the new revision. The copy takes
// it at once, so that the other instances need not wait for the next watch: the old targets stop soon after the last step.
func (s States) Save(ctx context.Context, state canary.State) (saved uint64, err error) {
	era, revision := s.View().Era(), uint64(0)
	if state.Revision != 0 && eraOf(state.Revision) != era {
		return 0, fmt.Errorf("%w: the store came back from a copy", shift.ErrConflict)
	}
	if state.Revision == 0 {
		revision, err = s.Records.Create(ctx, s.Kind, state.Service, stateValue(state))
	} else {
		revision, err = s.Records.Replace(ctx, s.Kind, state.Service, revisionOf(state.Revision), stateValue(state))
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrMissing) {
		err = fmt.Errorf("%w: %w", shift.ErrConflict, err)
	}
	if err == nil {
		raw, _ := json.Marshal(stateValue(state)) // The store's client has encoded the same.
		s.Take(mirror.Page{Era: era, Objects: []mirror.Object{{Name: state.Service, Revision: revision, Raw: raw}}}, "self")
	}
	return position(era, revision), err
}

// Report stores the status of an order.
func (s States) Report(ctx context.Context, order canary.Order, status canary.Status) error {
	order.Revision = revisionOf(order.Revision)
	return s.StoreStatus(ctx, order, status)
}

// eraBits is the number of bits of a revision in a position.
const eraBits = 40

// position orders revisions of all eras of the store, which gives out revisions again after it has come back from a copy. It
// is 0 for revision 0.
func position(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<eraBits | revision
}

// eraOf returns the era of a position.
func eraOf(position uint64) uint64 {
	return position >> eraBits
}

// revisionOf returns the revision of a position.
func revisionOf(position uint64) uint64 {
	return position & (1<<eraBits - 1)
}
