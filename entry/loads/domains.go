package loads

import (
	"sync"
	"time"

	"bramleywharf.example/core/wire"
)

// Domains holds when a target was last lost in each failure domain. The zero value is empty.
type Domains struct {
	lostAt sync.Map // lostAt maps failure domains to a time.Time.
}

// Lost records that a target was lost in a failure domain.
func (d *Domains) Lost(domain string, at time.Time) {
	if known, ok := d.lostAt.Load(domain); !ok || known.(time.Time).Before(at) {
		d.lostAt.Store(domain, at)
	}
}

// LostSince reports whether a target was lost in a failure domain after a time.
func (d *Domains) LostSince(domain string, since time.Time) bool {
	lostAt, ok := d.lostAt.Load(domain)
	return ok && lostAt.(time.Time).After(since)
}

// Recent returns the losses that a report of this instance mentions.
func (d *Domains) Recent() []wire.DomainLoss {
	var losses []wire.DomainLoss
	d.lostAt.Range(func(domain, lostAt any) bool {
		if age := time.Since(lostAt.(time.Time)); age < MinTTL {
			losses = append(losses, wire.DomainLoss{Domain: domain.(string), Age: age})
		}
		return true
	})
	return losses
}

// Merge records losses that another instance reported in the same way as those observed here.
func (d *Domains) Merge(losses []wire.DomainLoss) {
	now := time.Now()
	for _, loss := range losses {
		d.Lost(loss.Domain, now.Add(-loss.Age))
	}
}
