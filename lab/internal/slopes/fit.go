package slopes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// line is a least-squares fit of y = base + slope x.
type line struct {
	base, slope float64
	err         float64 // err is the root mean square of the residuals.
}

// claim is one figure at the size to design for.
type claim struct {
	series string
	value  string
	shape  shape
	at     float64 // at is the size to extrapolate to.
	bound  float64 // bound is the users' bound, or 0.
	unit   string
	scale  float64 // scale turns the measured unit into the printed one.
}

// shape is the sealed set of ways in which a value grows: linear and logarithmic.
type shape interface {
	isShape()
}

// linear values grow with the size.
type linear struct{}

// logarithmic values grow with the logarithm of the size, as rounds of gossip do.
type logarithmic struct{}

func (linear) isShape()      {}
func (logarithmic) isShape() {}

// The size to design for.
const (
	nodes         = 410
	organisations = 1400
	tokensPerNode = 1_500_000.0 / nodes
)

// pairsPerNode is the number of organisations that an instance serves: each organisation is steered to 6 instances.
const pairsPerNode = organisations * 6.0 / nodes

// claims returns the figures to print.
func claims() []claim {
	return []claim{
		{"instances", "cpu-share", linear{}, nodes, 1.9, "% of a core", 100},
		{"instances", "memory-bytes", linear{}, nodes, 256, "MB", 1e-6},
		{"instances", "peer-bytes-per-s", linear{}, nodes, 25, "KB/s", 1e-3},
		{"instances", "report-bytes-per-s", linear{}, nodes, 25, "KB/s", 1e-3},
		{"instances", "platform-bytes-per-s", linear{}, nodes, 25, "KB/s", 1e-3},
		{"instances", "fleet-reads-per-s", linear{}, nodes, 1000, "reads/s", 1},
		{"instances", "fleet-writes-per-s", linear{}, nodes, 150, "writes/s", 1},
		{"instances", "peer-connections", linear{}, nodes, 0, "connections", 1},
		{"instances", "in-force-s", logarithmic{}, nodes, 4, "s", 1},
		{"organisations", "peer-bytes-per-s", linear{}, pairsPerNode, 25, "KB/s", 1e-3},
		{"organisations", "cpu-share", linear{}, pairsPerNode, 0, "% of a core, the calls included", 100},
		{"tokens", "cpu-share", linear{}, tokensPerNode, 0, "% of a core, relaying", 100},
		{"tokens", "peer-bytes-per-s", linear{}, tokensPerNode, 0, "KB/s, with every token copied", 1e-3},
		{"tokens", "memory-bytes", linear{}, tokensPerNode, 0, "MB", 1e-6},
	}
}

// Report reads rows and prints each figure with its slope, the error of the fit, the extrapolation and the bound.
func Report(in io.Reader, out io.Writer) error {
	rows, err := readRows(in)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERIES\tVALUE\tSIZES\tMEASURED\tBASE\tSLOPE\tFIT ERROR\tAT\tEXTRAPOLATED\tBOUND\tRATIO")
	for _, c := range claims() {
		xs, ys := points(rows, c)
		if len(xs) < 2 {
			_, _ = fmt.Fprintf(w, "%s\t%s\tnot run\n", c.series, c.value)
			continue
		}
		l := fit(xs, ys, c.shape)
		at := l.at(c.at, c.shape)
		bound, ratio := "-", "-"
		if c.bound > 0 {
			bound = fmt.Sprintf("%g", c.bound)
			ratio = fmt.Sprintf("%.2f", at/c.bound)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g..%g\t%.3g..%.3g\t%.3g\t%.3g\t%.2g\t%.4g\t%.3g %s\t%s\t%s\n",
			c.series, c.value, xs[0], xs[len(xs)-1], ys[0], ys[len(ys)-1], l.base, l.slope, l.err, c.at, at, c.unit, bound, ratio)
	}
	return w.Flush()
}

// at returns the fitted value at a size.
func (l line) at(x float64, s shape) float64 {
	return l.base + l.slope*shaped(x, s)
}

// fit returns the least-squares fit of points.
func fit(xs, ys []float64, s shape) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		x := shaped(xs[i], s)
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	l := line{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.base = (sy - l.slope*sx) / n
	for i := range xs {
		r := ys[i] - l.at(xs[i], s)
		l.err += r * r
	}
	l.err = math.Sqrt(l.err / n)
	return l
}

// points returns the measured points of a claim in its printed unit.
func points(rows []Row, c claim) (xs, ys []float64) {
	for _, r := range rows {
		if y, ok := r.Values[c.value]; ok && r.Series == c.series {
			xs = append(xs, r.Size)
			ys = append(ys, y*c.scale)
		}
	}
	if c.series == "tokens" {
		for i := range xs {
			xs[i] = rows[indexOf(rows, c.series, i)].Values["tokens-per-s"]
		}
	}
	return xs, ys
}

// indexOf returns the index of the number-th row of a series.
func indexOf(rows []Row, series string, number int) int {
	for i, r := range rows {
		if r.Series != series {
			continue
		}
		if number == 0 {
			return i
		}
		number--
	}
	return 0
}

// readRows reads rows, one a line.
func readRows(in io.Reader) ([]Row, error) {
	var rows []Row
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var r Row
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("decode row: %w", err)
		}
		rows = append(rows, r)
	}
	return rows, lines.Err()
}

// shaped returns the size as the shape counts it.
func shaped(x float64, s shape) float64 {
	if _, ok := s.(logarithmic); ok {
		return math.Log2(x)
	}
	return x
}
