package picker

import (
	"time"

	"bramleywharf.example/core/route"
	"bramleywharf.example/core/wire"
)

// sequencesPerStart exceeds the number of reports of one start, so that the sequence grows across restarts.
const sequencesPerStart = 1 << 32

// Expect sets the interval at which instances send load reports, which determines the age at which reports expire.
func (p *Picker) Expect(interval time.Duration) {
	p.reports.Expect(interval)
}

// LoadAge returns how old the load that other instances report gets before the next report.
func (p *Picker) LoadAge() time.Duration {
	return p.reports.Interval()
}

// Known returns the sequences of the load reports that were received from other instances.
func (p *Picker) Known() []wire.ReportVersion {
	return p.reports.Known()
}

// Newer returns the load reports that a peer lacks by its known sequences, and a new one of this instance.
func (p *Picker) Newer(known []wire.ReportVersion) []wire.LoadReport {
	return append([]wire.LoadReport{p.Own()}, p.reports.Newer(known)...)
}

// Own returns a new load report of this instance.
func (p *Picker) Own() wire.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	report := wire.LoadReport{Instance: p.instance, Sequence: p.sequence, Targets: p.targetLoads(), Sessions: p.places.Own(), DomainLosses: p.domains.Recent()}
	if localUsage := p.localUsage.Load(); localUsage != nil {
		report.Usage = (*localUsage)()
	}
	if ownRollouts := p.ownRollouts.Load(); ownRollouts != nil {
		report.Rollouts = (*ownRollouts)()
	}
	for _, successor := range p.successors.Load().Unlisted() {
		report.Successors = append(report.Successors, wire.Successor{Name: successor.Name, Predecessor: successor.Predecessor.Name, PredecessorStartID: successor.Predecessor.StartID, PredecessorAddress: successor.Predecessor.Address, Age: time.Since(successor.FoundAt)})
	}
	return report
}

// Report sets the function that returns how many requests this instance recently sent to each service.
func (p *Picker) Report(localUsage func() []wire.Usage) {
	p.localUsage.Store(&localUsage)
}

// Used returns how many requests all other instances recently sent to a service, by their latest load reports.
func (p *Picker) Used(service string) wire.Usage {
	p.refreshSums()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remoteUsage[service]
}

// Merge takes load reports from a peer and keeps the newest one of each other instance.
func (p *Picker) Merge(reports []wire.LoadReport) {
	p.mu.Lock()
	own := p.instance
	p.mu.Unlock()
	var successors []wire.Successor
	for _, report := range p.reports.Merge(own, reports) {
		p.domains.Merge(report.DomainLosses)
		successors = append(successors, report.Successors...)
	}
	p.sumsStale.Store(true)
	p.mergeSuccessors(successors, time.Now())
}

// Name sets the name under which this instance reports its load, and the incarnation of its start.
func (p *Picker) Name(instance string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instance = instance
	p.sequence = incarnation * sequencesPerStart
}

// targetLoads returns this instance's load on each target where it has any.
func (p *Picker) targetLoads() (targetLoads []wire.TargetLoad) {
	table := p.targetTable.Load()
	for i, s := range table.states {
		load := wire.TargetLoad{Target: table.targetSet.All()[i].Name, Streams: int(s.streams.Load()), PendingPromptTokens: int(s.unreadTokens.Load()), Replicas: int(s.replicas.Load())}
		if load.Streams > 0 || load.PendingPromptTokens > 0 || load.Replicas > 0 {
			targetLoads = append(targetLoads, load)
		}
	}
	return targetLoads
}

// Places returns the targets of the sessions of all instances by session; this instance's own placements override
// reported ones.
func (p *Picker) Places() map[string]string {
	placements := make(map[string]string)
	for _, report := range p.reports.All() {
		for _, sessionTarget := range report.Sessions {
			placements[sessionTarget.Session] = sessionTarget.Target
		}
	}
	p.places.AddTo(placements)
	return placements
}

// Restore adds the placements that were stored before this start, unless the session already has one.
func (p *Picker) Restore(placements map[string]string) {
	p.places.Restore(placements)
}

// refreshSums computes the sums over reports if they are stale. It runs when the sums are needed and not at each
// received report, since reports are received more often than targets are chosen.
func (p *Picker) refreshSums() {
	if !p.sumsStale.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sumsStale.Swap(false) {
		p.sumReports(time.Now())
	}
}

// sumReports computes the load, placements and usage of all other instances from the reports that have not expired; the
// caller holds mu.
func (p *Picker) sumReports(now time.Time) {
	loadByTarget := make(map[string]route.Load)
	placements := make(map[string]string)
	p.remoteUsage = make(map[string]wire.Usage)
	for _, report := range p.reports.Current() {
		for _, usage := range report.Usage {
			sum := p.remoteUsage[usage.Service]
			sum.Requests += usage.Requests
			sum.Retries += usage.Retries
			p.remoteUsage[usage.Service] = sum
		}
		for _, sessionTarget := range report.Sessions {
			placements[sessionTarget.Session] = sessionTarget.Target
		}
		for _, targetLoad := range report.Targets {
			load := route.Load{Streams: targetLoad.Streams, Replicas: targetLoad.Replicas, Unread: targetLoad.PendingPromptTokens, Age: report.Made}
			loadByTarget[targetLoad.Target] = loadByTarget[targetLoad.Target].Plus(load)
		}
	}
	p.places.SetRemote(placements)
	table := p.targetTable.Load()
	for i, s := range table.states {
		sum := loadByTarget[table.targetSet.All()[i].Name]
		s.remoteLoad.Store(&sum)
	}
	p.summedAt.Store(int64(now.Sub(p.startedAt)))
}

// sinceSums returns the time since sumReports ran last.
func (p *Picker) sinceSums() time.Duration {
	return time.Since(p.startedAt) - time.Duration(p.summedAt.Load())
}
