package route

import "time"

// Costs of a target are counted in running streams.
const (
	// costPerUnreadToken makes an unread prompt of 8,000 tokens cost as much as a running stream.
	costPerUnreadToken = 1.0 / 8000

	// costPerReplica is below 1 since a replica takes the memory of a stream but no compute time.
	costPerReplica = 0.4

	// mixedStreamCost is the cost of a running stream, and of a replica in proportion, for a prompt of the typical size
	// among prompts of different sizes. Numbers of streams that are 1 to 4 s old say little about how soon a target
	// reads a prompt: at 60 prompts a second on 120 targets a cost of 1 sends many instances to the same targets, and
	// the 95th percentile of the time to the first event is 2 to 4 times as long as with 0.1. A cost of 0 does as well
	// there, but would not spread the streams over the memory of the targets.
	mixedStreamCost = 0.1
)

// Load is what instances have running at one target.
type Load struct {
	Streams  int
	Replicas int
	Unread   int           // Unread is the number of prompt tokens that were not read.
	Age      time.Duration // Age is how long ago that was, on average over the tokens.
}

// Plus returns the load of both.
func (l Load) Plus(other Load) Load {
	sum := Load{Streams: l.Streams + other.Streams, Replicas: l.Replicas + other.Replicas, Unread: l.Unread + other.Unread, Age: l.Age}
	if sum.Unread > 0 {
		sum.Age += time.Duration(float64(other.Age-l.Age) * float64(other.Unread) / float64(sum.Unread))
	}
	return sum
}

// HasRoom reports whether one more stream or replica fits into a number of tokens, assuming that each takes as much as a
// prompt of the given size.
func (l Load) HasRoom(prompt int, tokens float64) bool {
	return float64((l.Streams+l.Replicas+1)*prompt) <= tokens
}

// Weights are the weights of a target's load in its cost for one prompt.
type Weights struct {
	stream, unread, replica float64
	rate                    float64       // rate is the number of tokens that a target reads in a nanosecond; 0 leaves reported loads as they are.
	elapsed                 time.Duration // elapsed is the time since the ages of reported loads were computed.
}

// PlainWeights returns the weights for a prompt among prompts of similar size.
func PlainWeights() Weights {
	return Weights{stream: 1, unread: costPerUnreadToken, replica: costPerReplica}
}

// Cost returns the cost of a target on which this instance has its own load and others have reported theirs. Of the
// tokens that others reported, those are left that the target has not had the time to read; an own prompt is unread until
// its first event.
func (w *Weights) Cost(own Load, reported *Load) float64 {
	unread := float64(reported.Unread)
	if w.rate > 0 && reported.Unread > 0 {
		unread = max(0, unread-w.rate*float64(reported.Age+w.elapsed))
	}
	return w.stream*float64(own.Streams+reported.Streams) + w.unread*(float64(own.Unread)+unread) + w.replica*float64(own.Replicas+reported.Replicas)
}
