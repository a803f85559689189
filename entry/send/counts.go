package send

import (
	"time"

	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
)

// Counts holds the metrics of forwarded requests.
type Counts struct {
	Sends    *metrics.Counter
	Unsent   *metrics.Counter
	Repeats  *metrics.Counter
	Denied   *metrics.Counter
	Copies   *metrics.Counter
	Orders   *metrics.Counter
	Rereads  *metrics.Counter
	Severed  *metrics.Counter
	Silences *metrics.Counter
	Kept     *metrics.Counter
	Endings  map[chain.Ending]*metrics.Counter // Endings counts interrupted attempts of streams by what ended them.
	First    *metrics.Histogram
	Pause    *metrics.Histogram
	Resume   *metrics.Histogram

	// Undecided counts the streams that left a silent target before the next one had begun to answer.
	Undecided *metrics.Counter
}

// Resumed counts a stream that went on at another target after a pause, by whether it did so from a replica.
func (c Counts) Resumed(pause time.Duration, fromReplica bool) {
	c.Resume.Update(pause.Seconds())
	if fromReplica {
		c.Copies.Inc()
	} else {
		c.Rereads.Inc()
	}
}

// Moved counts a stream that has left its silent target, by whether the next one had begun to answer.
func (c Counts) Moved(hasBegun bool) {
	c.Silences.Inc()
	if !hasBegun {
		c.Undecided.Inc()
	}
}
