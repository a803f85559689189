package route

// Backlog is the sealed set of what an instance learns when it asks a target for its load just before it places a
// stream: Unread, Unasked and Unreachable.
type Backlog interface {
	isBacklog()
}

// Unread is the number of prompts that the target holds and has not read yet; a stream starts behind them.
type Unread struct {
	Prompts int
}

// Unasked is a target that did not answer in time, so that nothing new is known of it.
type Unasked struct{}

// Unreachable is a target that takes no connection.
type Unreachable struct{}

func (Unread) isBacklog()      {}
func (Unasked) isBacklog()     {}
func (Unreachable) isBacklog() {}

// assumedPrompts stands for the unread prompts of a target that did not answer: more than an idle one has, less than a
// crowded one.
const assumedPrompts = 1

// LeastBacklog returns the index of the target to take, given what each has reported, the most preferred target first.
// It answers the load of many instances that place streams by reports older than the time in which a prompt is read.
func LeastBacklog(backlogs []Backlog) int {
	best, bestPrompts := 0, -1
	for i, backlog := range backlogs {
		prompts := 0
		switch b := backlog.(type) {
		case Unread:
			prompts = b.Prompts
		case Unreachable:
			continue
		default:
			prompts = assumedPrompts
		}
		if bestPrompts < 0 || prompts < bestPrompts {
			best, bestPrompts = i, prompts
		}
	}
	return best
}
