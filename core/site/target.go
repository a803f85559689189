package site

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Target is one server of a service, as it declares itself.
type Target struct {
	Name     string // Name is the target's id, by which a request is addressed to it.
	Service  string
	Address  string
	Domain   string
	Version  string // Version is that of the program, or empty if the target does not declare it.
	Slots    int
	Leaving  bool   // Leaving targets are draining and get no new work.
	StartID  int64  // StartID differs between two starts of a target under the same name; 0 is not known yet.
	Era      uint64 // Era is the era of the store that Revision belongs to.
	Revision uint64
}

// Bounds on what a target may declare.
const (
	maxTextLength = 253     // of its name, service, failure domain and version, in bytes
	maxSlots      = 1 << 20 // requests at a time
)

// Check returns an error if no request can be sent to a target that declares itself so.
func (t Target) Check() error {
	address, err := netip.ParseAddrPort(t.Address)
	switch ip := address.Addr(); {
	case t.Name == "" || len(t.Name) > maxTextLength || strings.ContainsFunc(t.Name, isUnprintable):
		return errors.New("name is empty, too long or not printable")
	case t.Service == "" || len(t.Service) > maxTextLength || len(t.Domain) > maxTextLength:
		return errors.New("service is empty, or service or domain is too long")
	case err != nil || address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return errors.New("address is not that of a server")
	case len(t.Version) > maxTextLength:
		return errors.New("version is too long")
	case t.Slots < 0 || t.Slots > maxSlots:
		return errors.Errorf("%d slots", t.Slots)
	case t.StartID < 0:
		return errors.Errorf("start %d is negative", t.StartID)
	default:
		return nil
	}
}

// isUnprintable reports whether a character is not a visible one of ASCII, as names in headers have to be.
func isUnprintable(r rune) bool {
	return r <= ' ' || r > '~'
}

// IsSameStart reports whether t declares the same target as old, at the same address and not restarted since.
// If old's start is unknown, any start matches.
func (t Target) IsSameStart(old Target) bool {
	return t.Name == old.Name && t.Address == old.Address && (t.StartID == old.StartID || old.StartID == 0)
}

// IsNewerThan reports whether the entry of t was written later than that of another target.
func (t Target) IsNewerThan(other Target) bool {
	return cmp.Or(cmp.Compare(t.Era, other.Era), cmp.Compare(t.Revision, other.Revision)) > 0
}

// WithEarlier returns the target that an entry stands for which the store had from a copy and was not written since. An
// earlier era of the store held a later entry under its name, which may have been removed. The target stays removed or
// draining, and in its later start, unless the entry shows another start; it returns false for a removed target.
func (t Target) WithEarlier(earlier Target, removed bool) (Target, bool) {
	switch {
	case earlier.StartID > 0 && t.StartID > earlier.StartID:
		return t, true
	case removed:
		return Target{}, false
	case t.StartID > 0 && earlier.StartID > t.StartID:
		earlier.Era, earlier.Revision = t.Era, t.Revision
		return earlier, true
	default:
		t.Leaving = t.Leaving || earlier.Leaving
		return t, true
	}
}

// TargetSet is the set of known targets. It is immutable.
type TargetSet struct {
	targets      []Target // Sorted by name.
	missingSince map[string]time.Time
}

// Changes are the differences between two sets of targets.
type Changes struct {
	Added    []Target
	Draining []Target // Draining holds the targets that have started to drain.
	Ended    []Target // Ended holds the older declarations of targets that were removed, restarted or moved.
}

// All returns all targets, sorted by name; the caller must not modify them.
func (s *TargetSet) All() []Target {
	return s.targets
}

// ChangesSince returns what has changed since an older set, in the order of the targets' names.
func (s *TargetSet) ChangesSince(old *TargetSet) Changes {
	var c Changes
	before := old.targets
	for _, t := range s.targets {
		for len(before) > 0 && before[0].Name < t.Name {
			c.Ended = append(c.Ended, before[0])
			before = before[1:]
		}
		if len(before) == 0 || before[0].Name != t.Name {
			c.Added = append(c.Added, t)
			continue
		}
		if t.Leaving && !before[0].Leaving {
			c.Draining = append(c.Draining, t)
		}
		if !t.IsSameStart(before[0]) {
			c.Ended = append(c.Ended, before[0])
		}
		before = before[1:]
	}
	c.Ended = append(c.Ended, before...)
	return c
}

// Get returns a target by name.
func (s *TargetSet) Get(name string) (Target, bool) {
	i, ok := s.Index(name)
	if !ok {
		return Target{}, false
	}
	return s.targets[i], true
}

// HasMissing reports whether the set keeps targets that are no longer listed.
func (s *TargetSet) HasMissing() bool {
	return len(s.missingSince) > 0
}

// Index returns the position of a target in All, and whether the set has it.
func (s *TargetSet) Index(name string) (int, bool) {
	return slices.BinarySearchFunc(s.targets, name, func(t Target, name string) int { return strings.Compare(t.Name, name) })
}

// Len returns the number of targets.
func (s *TargetSet) Len() int {
	return len(s.targets)
}

// WithTargets returns a set of the given targets.
// A target that only s has is kept until the retention time has passed since it was first missing.
func (s *TargetSet) WithTargets(targets []Target, now time.Time, retention time.Duration) *TargetSet {
	next := &TargetSet{targets: newestByAddress(targets)}
	if s != nil && retention > 0 {
		next.retainMissing(s, now, retention)
	}
	return next
}

// retainMissing adds those targets of an older set that are not draining, went missing less than the
// retention time ago and whose address no listed target uses.
func (s *TargetSet) retainMissing(old *TargetSet, now time.Time, retention time.Duration) {
	ended := s.ChangesSince(old).Ended
	if len(ended) == 0 {
		return
	}
	usedAddresses := make(map[string]bool, len(s.targets))
	for _, t := range s.targets {
		usedAddresses[t.Address] = true
	}
	var retained []Target
	for _, t := range ended {
		if _, listed := s.Index(t.Name); listed || t.Leaving || usedAddresses[t.Address] {
			continue
		}
		since, ok := old.missingSince[t.Name]
		if !ok {
			since = now
		}
		if now.Sub(since) < retention {
			retained = append(retained, t)
			if s.missingSince == nil {
				s.missingSince = make(map[string]time.Time)
			}
			s.missingSince[t.Name] = since
		}
	}
	if len(retained) > 0 {
		s.targets = append(s.targets, retained...)
		sortByName(s.targets)
	}
}

// newestByAddress returns the newest target at each address, sorted by name: a target may restart there under another
// name.
func newestByAddress(targets []Target) []Target {
	newest := make([]Target, 0, len(targets))
	positions := make(map[string]int, len(targets))
	for _, t := range targets {
		i, known := positions[t.Address]
		switch {
		case !known:
			positions[t.Address] = len(newest)
			newest = append(newest, t)
		case t.IsNewerThan(newest[i]):
			newest[i] = t
		}
	}
	sortByName(newest)
	return newest
}

// sortByName sorts targets by name.
func sortByName(targets []Target) {
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
}
