package picker

import (
	"bramleywharf.example/core/plan"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
)

// Excluded is the rank of a target that must not get a request.
const Excluded = plan.Excluded

// VersionChoice ranks the targets of a service for one request by their versions.
type VersionChoice interface {
	// Rank returns Excluded, or the rank of a target: targets of a higher rank are chosen only if none of a lower rank can
	// take the request.
	Rank(target *site.Target) int
}

// rank returns the rank of a target for the request.
func (w Want) rank(target entry) int {
	if w.Version == nil {
		return 0
	}
	return w.Version.Rank(target.Target)
}

// ReportRollouts sets the function that returns what this instance has seen of the versions of services.
func (p *Picker) ReportRollouts(own func() []wire.Rollout) {
	p.ownRollouts.Store(&own)
}

// Rollouts returns what other instances have seen of the versions of services, by instance. Reports that have expired
// count as well, as long as they are kept.
func (p *Picker) Rollouts() map[string][]wire.Rollout {
	rollouts := make(map[string][]wire.Rollout)
	for _, report := range p.reports.All() {
		if len(report.Rollouts) > 0 {
			rollouts[report.Instance] = report.Rollouts
		}
	}
	return rollouts
}

// Declared returns all targets in use, sorted by name; the caller must not modify them.
func (p *Picker) Declared() []site.Target {
	return p.targetTable.Load().targetSet.All()
}

// Running returns the number of requests that run at the targets of a service: this instance's, and the streams of all
// other instances.
func (p *Picker) Running(service string) (running int) {
	p.refreshSums()
	table := p.targetTable.Load()
	for i, s := range table.states {
		if table.targetSet.All()[i].Service == service {
			running += int(s.inFlight.Load()) + s.remoteLoad.Load().Streams
		}
	}
	return running
}
