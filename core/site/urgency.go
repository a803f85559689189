package site

// urgencies is the range of the priorities of some routes or organisations; 0 is the most urgent.
type urgencies struct {
	lowest, highest int // lowest is the number of the most urgent priority.
	known           bool
}

// with returns the range with one more priority.
func (u urgencies) with(priority int) urgencies {
	if !u.known {
		return urgencies{lowest: priority, highest: priority, known: true}
	}
	return urgencies{lowest: min(u.lowest, priority), highest: max(u.highest, priority), known: true}
}

// streamUrgencies returns the range of the priorities of the streaming routes of each service.
func streamUrgencies(routes []Route) map[string]urgencies {
	byService := make(map[string]urgencies)
	for _, r := range routes {
		if _, ok := r.RetryPolicy.(Stream); !ok {
			continue
		}
		for _, s := range r.Services {
			byService[s.Service] = byService[s.Service].with(r.Priority)
		}
	}
	return byService
}

// MostUrgent returns the most urgent priority of a service's streams, and whether its streams have different priorities:
// by their routes, or by the organisations that have one of their own.
func (c *Config) MostUrgent(service string) (priority int, differ bool) {
	u, ok := c.streams[service]
	if !ok {
		return 0, false
	}
	if c.callers.known {
		u = u.with(c.callers.lowest).with(c.callers.highest)
	}
	return u.lowest, u.lowest != u.highest
}
