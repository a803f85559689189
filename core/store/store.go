package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's object API.
var (
	ErrNotFound  = errors.New("object not found in the platform")
	ErrConflict  = errors.New("object changed in the platform since it was read")
	ErrUncertain = errors.New("platform did not answer; the write may have taken effect")
	ErrDown      = errors.New("platform is not reachable")
)

// MaxValue bounds the encoding of one object, in bytes.
const MaxValue = 1 << 20

// Object is one stored object; Revision is 0 for an object that is not stored yet.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	WriteID  string          `json:"write-id,omitempty"` // WriteID is chosen by the writer, who recognises its write by it.
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Page is a set of objects that is complete up to a revision.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Instance is one line of the platform's lagging list.
type Instance struct {
	Name          string `json:"name"`
	Domain        string `json:"failure-domain"`
	CallerAddress string `json:"caller-address"` // CallerAddress is where callers connect, as ip:port.
	PeerAddress   string `json:"peer-address"`   // PeerAddress is where other instances connect, as ip:port.
	Leaving       bool   `json:"leaving,omitempty"`
}

// Store is the platform's service as the system uses it.
type Store interface {
	// Changes waits up to a time for objects of the kinds changed after a revision; the page may be empty.
	Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error)
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Instances returns the lagging list of live and leaving instances.
	Instances(ctx context.Context) ([]Instance, error)
	// List returns all objects of the kinds.
	List(ctx context.Context, kinds []string) (Page, error)
	// Put writes an object if its stored revision is still o.Revision and returns the new revision, ErrConflict or ErrUncertain.
	Put(ctx context.Context, o Object) (uint64, error)
}

// WithValue returns a copy of the object that carries a value and the id of its write.
func (o Object) WithValue(writeID string, value json.RawMessage) Object {
	o.WriteID = writeID
	o.Value = value
	return o
}
