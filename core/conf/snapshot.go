package conf

import (
	"maps"
	"slices"
)

// Revision is a revision of the platform's object API, which each write increases; 0 means that none is known.
type Revision uint64

// Key names one configuration object by its kind and name.
type Key struct {
	Kind string
	Name string
}

// Entry is one configuration object at the revision that last changed it.
type Entry struct {
	Key      Key
	Revision Revision
	Deleted  bool
	Value    Value
	Raw      []byte // Raw is the stored encoding, passed on to peers unchanged.
}

// Snapshot is the whole configuration up to one revision. It is immutable.
type Snapshot struct {
	revision              Revision
	entries               map[Key]Entry
	limitByOrganisation   map[string]Limit
	memberByOrganisation  map[string]string
	organisationByKeyHash map[string]string
}

// NewSnapshot returns an empty snapshot at revision 0.
func NewSnapshot() *Snapshot {
	return &Snapshot{}
}

// Entries returns the entries changed after a revision, including deleted ones, sorted by revision.
func (s *Snapshot) Entries(after Revision) []Entry {
	var changed []Entry
	for _, e := range s.entries {
		if e.Revision > after {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int {
		return int(int64(a.Revision) - int64(b.Revision))
	})
	return changed
}

// LimitOf returns the limit of an organisation and the member whose sheet sets it.
func (s *Snapshot) LimitOf(organisation string) (Limit, string, bool) {
	l, ok := s.limitByOrganisation[organisation]
	return l, s.memberByOrganisation[organisation], ok
}

// Model returns the declaration of a model.
func (s *Snapshot) Model(name string) (Model, bool) {
	m, ok := s.value(KindModel, name).(Model)
	return m, ok
}

// Organisation returns the declaration of an organisation.
func (s *Snapshot) Organisation(name string) (Organisation, bool) {
	o, ok := s.value(KindOrganisation, name).(Organisation)
	return o, ok
}

// OrganisationByKeyHash returns the organisation whose key has the given hash.
func (s *Snapshot) OrganisationByKeyHash(keyHash string) (string, bool) {
	name, ok := s.organisationByKeyHash[keyHash]
	return name, ok
}

// Organisations returns the names of all organisations that have a limit, sorted.
func (s *Snapshot) Organisations() []string {
	return slices.Sorted(maps.Keys(s.limitByOrganisation))
}

// Revision returns the platform revision up to which the snapshot is complete.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Service returns the declaration of a plain service.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.value(KindService, name).(Service)
	return v, ok
}

// Sheet returns the current sheet of a member.
func (s *Snapshot) Sheet(member string) (Sheet, bool) {
	v, ok := s.value(KindSheet, member).(Sheet)
	return v, ok
}

// SheetMembers returns the members that have a sheet, sorted.
func (s *Snapshot) SheetMembers() []string {
	var names []string
	for key, e := range s.entries {
		if key.Kind == KindSheet && !e.Deleted {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Targets returns all declared targets, sorted by name.
func (s *Snapshot) Targets() []Target {
	var targets []Target
	for _, e := range s.entries {
		if t, ok := e.Value.(Target); ok && !e.Deleted {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return targets
}

// WithChanges returns a snapshot complete up to a revision; of each entry it keeps the newer version.
// It returns the receiver if the revision is not newer.
func (s *Snapshot) WithChanges(revision Revision, changes []Entry) *Snapshot {
	if revision <= s.revision {
		return s
	}
	next := &Snapshot{revision: revision, entries: maps.Clone(s.entries)}
	if next.entries == nil {
		next.entries = make(map[Key]Entry, len(changes))
	}
	for _, e := range changes {
		if old, ok := next.entries[e.Key]; ok && old.Revision >= e.Revision {
			continue
		}
		next.entries[e.Key] = e
	}
	next.buildIndexes()
	return next
}

// buildIndexes fills the indexes of a snapshot under construction.
func (s *Snapshot) buildIndexes() {
	s.limitByOrganisation = make(map[string]Limit)
	s.memberByOrganisation = make(map[string]string)
	s.organisationByKeyHash = make(map[string]string)
	for _, e := range s.entries {
		if e.Deleted {
			continue
		}
		switch v := e.Value.(type) {
		case Organisation:
			s.organisationByKeyHash[v.KeyHash] = e.Key.Name
		case Sheet:
			s.indexSheet(e.Key.Name, v)
		}
	}
}

// indexSheet adds the limits of a member's sheet to the indexes.
func (s *Snapshot) indexSheet(member string, sheet Sheet) {
	for _, l := range sheet.Limits {
		s.limitByOrganisation[l.Organisation] = l
		s.memberByOrganisation[l.Organisation] = member
	}
}

// value returns the value of an entry, or nil if it is missing or deleted.
func (s *Snapshot) value(kind, name string) Value {
	e, ok := s.entries[Key{Kind: kind, Name: name}]
	if !ok || e.Deleted {
		return nil
	}
	return e.Value
}
