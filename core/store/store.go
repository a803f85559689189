package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store.
var (
	ErrNotFound       = errors.New("object not found in the platform")
	ErrConflict       = errors.New("object changed in the platform since it was read")
	ErrOutcomeUnknown = errors.New("platform did not answer; the write may have taken effect")
	ErrUnreachable    = errors.New("platform is not reachable")
)

// MaxObjectBytes limits the JSON encoding of one object, in bytes.
const MaxObjectBytes = 1 << 20

// Object is one stored object; Revision is 0 for an object that is not stored yet.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	WriteID  string          `json:"write-id,omitempty"` // WriteID lets the writer recognise its own write.
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Page is the result of a list or watch, complete up to Revision.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Instance is one entry of the platform's list of instances, which may lag behind the actual state.
type Instance struct {
	Name          string `json:"name"`
	Domain        string `json:"failure-domain"`
	CallerAddress string `json:"caller-address"` // CallerAddress is the ip:port for callers.
	PeerAddress   string `json:"peer-address"`   // PeerAddress is the ip:port for other instances.
	Leaving       bool   `json:"leaving,omitempty"`
}

// Store gives access to the platform's objects and its list of instances.
type Store interface {
	// Changes waits up to wait for objects of the kinds that changed after a revision; the page may be empty.
	Changes(ctx context.Context, kinds []string, after uint64, wait time.Duration) (Page, error)
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Instances returns the live and leaving instances; the list may lag behind the actual state.
	Instances(ctx context.Context) ([]Instance, error)
	// List returns all objects of the kinds.
	List(ctx context.Context, kinds []string) (Page, error)
	// Put writes an object if its stored revision is still o.Revision, and returns the new revision. It fails with
	// ErrConflict when the revision differs, and with ErrOutcomeUnknown when the write may have been applied.
	Put(ctx context.Context, o Object) (uint64, error)
}

// WithValue returns a copy of the object with a new value and the id of its write.
func (o Object) WithValue(writeID string, value json.RawMessage) Object {
	o.WriteID = writeID
	o.Value = value
	return o
}
