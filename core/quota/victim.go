package quota

import "time"

// minStall is how long a reader must have read nothing before it may be cut. A sound reader on a lossy link waits this long
// for a few retransmissions.
const minStall = time.Second

// Reader is what the buffer of one reader holds, and for how long it has read nothing of that.
type Reader struct {
	Held    int64 // Held is in bytes.
	Stalled time.Duration
}

// ChooseVictim returns the index of the reader to cut when memory is short: the one that holds most for the time since it
// last read. It returns false if all readers read, or hold nothing.
func ChooseVictim(readers []Reader) (int, bool) {
	victim, worst := 0, 0.0
	for i, r := range readers {
		if r.Stalled < minStall {
			continue
		}
		if weight := float64(r.Held) * r.Stalled.Seconds(); weight > worst {
			victim, worst = i, weight
		}
	}
	return victim, worst > 0
}
