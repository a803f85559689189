package board

import (
	"context"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/feed"
	"github.com/apex/log"
)

// DecodeConfig returns the configuration that a view holds, or nil while there is none.
type DecodeConfig func(mirror.View) (*site.Config, error)

// DecodeTarget returns the target that an entry declares.
type DecodeTarget func(mirror.Object) (site.Target, error)

// Board keeps the decoded configuration in force.
type Board struct {
	*wait.Loop
	decode DecodeConfig
	feed   *feed.Feed
	log    log.Interface
	config *cell.Cell[*site.Config]
}

// New returns a controller that decodes what its feed brings.
func New(f *feed.Feed, decode DecodeConfig, logger log.Interface) *Board {
	b := &Board{decode: decode, feed: f, log: logger, config: cell.New[*site.Config](nil)}
	b.Loop = wait.Start(func(ctx context.Context) {
		for {
			changed := f.Changed()
			b.reconcile()
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
	return b
}

// Changed returns a channel that closes at the next configuration.
func (b *Board) Changed() <-chan struct{} {
	return b.config.Changed()
}

// Config returns the configuration in force, or nil before the first is known.
func (b *Board) Config() *site.Config {
	return b.config.Load()
}

// reconcile brings the newest configuration into force; one that cannot be read changes nothing.
func (b *Board) reconcile() {
	view := b.feed.View()
	old := b.config.Load()
	next, err := b.decode(view)
	if err != nil {
		b.log.WithError(err).Error("configuration cannot be read; the one before stays in force")
		return
	}
	if next == nil || old != nil && next.Revision <= old.Revision {
		return
	}
	b.config.Update(func(*site.Config) *site.Config { return next })
	fields := log.Fields{"config-version": next.Version, "revision": next.Revision}
	if old != nil {
		fields["old-version"] = old.Version
	}
	b.log.WithFields(fields).Info("configuration in force")
}
