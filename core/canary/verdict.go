package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// maxFailureExcess is the part of the responses by which a version may fail more often than the others.
	maxFailureExcess = 0.05
	// maxLatencyRatio is how many times as long as that of the others the latency of a version may be.
	maxLatencyRatio = 1.8
	// badChance and badDeviations are the significance of a difference that condemns a version: by chance it is found in
	// about 1 in 10,000 roll-outs. A single comparison has to be rarer, since each roll-out is judged many times, on all its
	// evidence and on recent evidence, for each route.
	badChance     = 1e-5
	badDeviations = 4.5
	// doubtChance and doubtDeviations are that of a difference that speaks against a version at the end of its time.
	doubtChance     = 3e-4
	doubtDeviations = 3.4
	// minResponses is how many responses of each side a route needs in one failure domain to be compared there.
	minResponses = 5
	// minTimed is the number of latencies of the new version that a verdict on its latency takes: below, their variance is
	// not known well enough.
	minTimed = 20
	// grossExcess and grossFailures condemn a version that all requests go to, when there is nothing to compare it with.
	grossExcess   = 0.3
	grossFailures = 50
)

// Verdict is the sealed set of what evidence says about a version: Bad, Doubtful and Clean.
type Verdict interface {
	isVerdict()
}

// Bad means that the version is worse than the others.
type Bad struct {
	Reason string
}

// Doubtful means that the version may be worse than the others.
type Doubtful struct {
	Reason string
}

// Clean means that nothing speaks against the version.
type Clean struct{}

func (Bad) isVerdict()      {}
func (Doubtful) isVerdict() {}
func (Clean) isVerdict()    {}

// pair is the tallies of the new version and of the others that are compared with each other.
type pair struct {
	fresh, old Tally
}

// plus returns the sum of two pairs.
func (p pair) plus(other pair) pair {
	return pair{fresh: p.fresh.Plus(other.fresh), old: p.old.Plus(other.old)}
}

// isComparable reports whether both sides have enough responses.
func (p pair) isComparable() bool {
	return p.fresh.Responses >= minResponses && p.old.Responses >= minResponses
}

// Judge returns the verdict on a version by its evidence, on each route and on all together.
func Judge(e Evidence, version string) Verdict {
	verdict := Verdict(Clean{})
	var all []pair
	byRoute := e.pairs(version)
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		strata := stratify(byRoute[route])
		all = append(all, strata...)
		verdict = worse(verdict, compare(strata, "route "+route))
	}
	return worse(verdict, compare(all, "all routes"))
}

// JudgeAlone returns the verdict on a version by recent evidence in which the other versions have no part. A fault that
// hits all versions cannot be told from one of the version then, so that only gross failures condemn it.
func JudgeAlone(all, recent Evidence, version string) Verdict {
	_, old := all.Split(version)
	fresh, _ := recent.Split(version)
	if excess := fresh.FailureRate() - old.FailureRate(); fresh.Failures >= grossFailures && excess > grossExcess {
		return Bad{Reason: fmt.Sprintf("%d of %d responses failed since all requests go to the version", fresh.Failures, fresh.Responses)}
	}
	return Clean{}
}

// worse returns the worse of two verdicts, the first if they are alike.
func worse(a, b Verdict) Verdict {
	if _, ok := a.(Bad); ok {
		return a
	}
	if _, ok := b.(Clean); ok {
		return a
	}
	if _, ok := a.(Doubtful); ok {
		if _, ok := b.(Doubtful); ok {
			return a
		}
	}
	return b
}

// pairs returns the tallies of the version and of the others by route and failure domain.
func (e Evidence) pairs(version string) map[string]map[string]pair {
	byRoute := make(map[string]map[string]pair)
	for g, t := range e.tallies {
		domains := byRoute[g.Route]
		if domains == nil {
			domains = make(map[string]pair)
			byRoute[g.Route] = domains
		}
		p := domains[g.Domain]
		if g.Version == version {
			p.fresh = p.fresh.Plus(t)
		} else {
			p.old = p.old.Plus(t)
		}
		domains[g.Domain] = p
	}
	return byRoute
}

// stratify returns the pairs of a route to be compared: one for each failure domain in which both sides have enough
// responses, and one for all other domains together. If the others have too few responses there, they are compared as a
// whole.
func stratify(domains map[string]pair) []pair {
	var strata []pair
	var rest, whole pair
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		p := domains[domain]
		whole = whole.plus(p)
		if p.isComparable() {
			strata = append(strata, p)
		} else {
			rest = rest.plus(p)
		}
	}
	switch {
	case rest.fresh.Responses == 0:
	case rest.isComparable():
		strata = append(strata, rest)
	case whole.isComparable():
		return []pair{whole}
	}
	return strata
}

// compare returns the verdict by the differences within some pairs.
func compare(strata []pair, where string) Verdict {
	return worse(compareFailures(strata, where), compareLatencies(strata, where))
}

// compareFailures compares failures. Given all failures of a pair, those of the new version have a hypergeometric
// distribution if the versions are alike, and so are a sum of independent events. By Hoeffding, such a sum is at least one
// above its mean no more often than one with a binomial distribution of the same mean.
func compareFailures(strata []pair, where string) Verdict {
	failures, all, expected, responses, excess := 0, 0, 0.0, 0, 0.0
	for _, p := range strata {
		total := p.fresh.Responses + p.old.Responses
		expected += float64(p.fresh.Responses) * float64(p.fresh.Failures+p.old.Failures) / float64(max(1, total))
		failures += p.fresh.Failures
		all += p.fresh.Failures + p.old.Failures
		responses += p.fresh.Responses
		excess += float64(p.fresh.Responses) * (p.fresh.FailureRate() - p.old.FailureRate())
	}
	excess /= float64(max(1, responses))
	if float64(failures) < expected+1 || excess <= maxFailureExcess {
		return Clean{}
	}
	chance := binomialTail(failures, all, expected/float64(all))
	reason := fmt.Sprintf("%s: %d of %d responses failed, %.3f more than of the others", where, failures, responses, excess)
	switch {
	case chance < badChance:
		return Bad{Reason: reason}
	case chance < doubtChance:
		return Doubtful{Reason: reason}
	default:
		return Clean{}
	}
}

// binomialTail returns the probability of at least some successes in trials of a probability.
func binomialTail(successes, trials int, probability float64) float64 {
	if probability >= 1 {
		return 1
	}
	logFactorial := func(n int) float64 {
		l, _ := math.Lgamma(float64(n + 1))
		return l
	}
	tail := 0.0
	for k := successes; k <= trials; k++ {
		logTerm := logFactorial(trials) - logFactorial(k) - logFactorial(trials-k) +
			float64(k)*math.Log(probability) + float64(trials-k)*math.Log1p(-probability)
		term := math.Exp(logTerm)
		tail += term
		if term < tail*1e-6 {
			break // The terms only get smaller above the mean.
		}
	}
	return tail
}

// compareLatencies compares mean latencies as those of log-normal distributions.
func compareLatencies(strata []pair, where string) Verdict {
	difference, variance, weights, timed := 0.0, 0.0, 0.0, 0
	for _, p := range strata {
		if p.fresh.Timed < minResponses || p.old.Timed < minResponses {
			continue
		}
		fresh, old := float64(p.fresh.Timed), float64(p.old.Timed)
		weight := fresh * old / (fresh + old)
		difference += weight * (p.fresh.logMean() - p.old.logMean())
		variance += weight * weight * (p.fresh.logMeanVariance(p.old) + p.old.logMeanVariance(p.fresh))
		weights += weight
		timed += p.fresh.Timed
	}
	if timed < minTimed {
		return Clean{}
	}
	difference /= weights
	deviation := math.Sqrt(variance) / weights
	if difference <= math.Log(maxLatencyRatio) {
		return Clean{}
	}
	reason := fmt.Sprintf("%s: latency is %.2f times that of the others", where, math.Exp(difference))
	switch {
	case difference > badDeviations*deviation:
		return Bad{Reason: reason}
	case difference > doubtDeviations*deviation:
		return Doubtful{Reason: reason}
	default:
		return Clean{}
	}
}

// logMeanVariance returns the variance of logMean as an estimate. The variance of the latencies counts as at least half
// that of other ones of the same kind, since a few latencies may be alike by chance.
func (t Tally) logMeanVariance(other Tally) float64 {
	spread := max(t.logVariance(), other.logVariance()/2)
	n := float64(t.Timed)
	return spread/n + spread*spread/(2*(n-1))
}
