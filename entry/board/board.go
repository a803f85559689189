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

// DecodeConfig decodes the configuration from the stored objects; it returns nil while they hold none.
type DecodeConfig func(mirror.View) (*site.Config, error)

// DecodeTarget decodes a target from its stored object.
type DecodeTarget func(mirror.Object) (site.Target, error)

// Board keeps the current configuration in its decoded form.
type Board struct {
	*wait.Loop
	decode DecodeConfig
	feed   *feed.Feed
	log    log.Interface
	config *cell.Cell[*site.Config]
	// skipped is the last configuration that was not applied since its version is not later than the one in force.
	skipped *site.Config
}

// New returns a controller that decodes the configuration after each update of its feed.
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

// Changed returns a channel that is closed when the next configuration is applied.
func (b *Board) Changed() <-chan struct{} {
	return b.config.Changed()
}

// Config returns the current configuration, or nil before the first one is received.
func (b *Board) Config() *site.Config {
	return b.config.Load()
}

// replaces reports whether a configuration replaces the one in force. In a later era of the store it has to be of a later
// version: the store may have come back from a copy with an older one. The one in force is part of the new era as soon as
// its version is stored there.
func (b *Board) replaces(next, old *site.Config) bool {
	switch {
	case next.Era == old.Era:
		return next.Revision > old.Revision
	case next.Era < old.Era:
		return false
	case site.LaterVersion(next.Version, old.Version):
		return true
	case !site.LaterVersion(old.Version, next.Version):
		b.config.UpdateNotify(func(c *site.Config) (*site.Config, bool) { return c.WithPosition(next.Era, next.Revision), false })
	case b.skipped == nil || b.skipped.Era != next.Era || b.skipped.Revision != next.Revision:
		b.skipped = next
		b.log.WithFields(log.Fields{"config-version": next.Version, "era": next.Era, "revision": next.Revision, "old-version": old.Version}).
			Warn("restored configuration is older than the one in force; keeping that until a later version is stored")
	}
	return false
}

// reconcile applies the newest configuration; one that cannot be decoded changes nothing.
func (b *Board) reconcile() {
	view := b.feed.View()
	old := b.config.Load()
	next, err := b.decode(view)
	if err != nil {
		b.log.WithError(err).Error("configuration cannot be decoded; keeping the previous one")
		return
	}
	if next == nil || old != nil && !b.replaces(next, old) {
		return
	}
	b.config.Update(func(*site.Config) *site.Config { return next })
	fields := log.Fields{"config-version": next.Version, "revision": next.Revision}
	if next.Era > 0 {
		fields["era"] = next.Era
	}
	if old != nil {
		fields["old-version"] = old.Version
	}
	b.log.WithFields(fields).Info("configuration applied")
	if next.Limits.HeaderBytes > site.MaxHeaderBytes {
		b.log.WithFields(fields).WithField("limit", site.MaxHeaderBytes).Warn("version allows larger headers than this program takes")
	}
}
