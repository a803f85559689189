package quota

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrExhausted means that the requests in progress hold as many bytes as they may.
var ErrExhausted = errors.New("requests in progress hold as much memory as they may")

// Budget is the number of bytes that all requests may hold together.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes; 0 sets no limit.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the number of bytes; requests keep what they hold beyond a lower one.
func (b *Budget) SetLimit(limit int64) {
	b.limit.Store(limit)
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// IsShort reports whether fewer than a number of bytes are left.
func (b *Budget) IsShort(bytes int64) bool {
	limit := b.limit.Load()
	return limit > 0 && limit-b.used.Load() < bytes
}

// Open returns an account of one request.
func (b *Budget) Open() *Account {
	return &Account{budget: b}
}

// Account is what one request holds of a budget. A nil account takes any number of bytes.
type Account struct {
	budget *Budget
	held   atomic.Int64
	closed atomic.Bool
}

// Close gives back what the account holds; it takes nothing any more.
func (a *Account) Close() {
	if a != nil && !a.closed.Swap(true) {
		a.budget.used.Add(-a.held.Swap(0))
	}
}

// Take adds bytes to the account. It returns ErrExhausted, and adds nothing, if the budget does not have them.
func (a *Account) Take(bytes int64) error {
	if a == nil {
		return nil
	}
	if used, limit := a.budget.used.Add(bytes), a.budget.limit.Load(); limit > 0 && used > limit {
		a.budget.used.Add(-bytes)
		return ErrExhausted
	}
	a.held.Add(bytes)
	if a.closed.Load() {
		a.budget.used.Add(-a.held.Swap(0))
		return ErrExhausted
	}
	return nil
}

// Give returns bytes that were taken.
func (a *Account) Give(bytes int64) {
	if a == nil {
		return
	}
	a.held.Add(-bytes)
	a.budget.used.Add(-bytes)
	if a.closed.Load() {
		a.budget.used.Add(-a.held.Swap(0)) // Close had given back the same bytes before.
	}
}

// accountKey is the key of a context's account.
type accountKey struct{}

// FromContext returns the account of the request that a context belongs to, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

// NewContext returns a context of a request with an account.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// Detach returns a context with the values of a request's context for work that outlives the request: it is neither
// cancelled with the request nor takes from its account, which is closed by then.
func Detach(ctx context.Context) context.Context {
	return NewContext(context.WithoutCancel(ctx), nil)
}
