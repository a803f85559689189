package slopes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// fittedLine is a least-squares fit of y = intercept + slope x.
type fittedLine struct {
	intercept, slope float64
	rmsError         float64 // rmsError is the root mean square of the residuals.
}

// figure is one line of the report: a measured value to extrapolate to the design size.
type figure struct {
	series string
	value  string
	growth growth
	at     float64 // at is the size to extrapolate to.
	bound  float64 // bound is the limit that the users set, or 0.
	unit   string
	scale  float64 // scale turns the measured unit into the printed one.
}

// growth is the sealed set of ways in which a value grows with the size: linear and logarithmic.
type growth interface {
	isGrowth()
}

// linear values are proportional to the size, apart from the intercept.
type linear struct{}

// logarithmic values grow with the logarithm of the size, as rounds of gossip do.
type logarithmic struct{}

func (linear) isGrowth()      {}
func (logarithmic) isGrowth() {}

// The size that the system is designed for.
const (
	designInstances      = 410
	designOrganisations  = 1400
	tokenRatePerInstance = 1_500_000.0 / designInstances // tokenRatePerInstance is in tokens a second.
)

// organisationsPerInstance is the number of organisations that an instance serves; each uses 6 instances.
const organisationsPerInstance = designOrganisations * 6.0 / designInstances

// figures returns the lines of the report.
func figures() []figure {
	return []figure{
		{"instances", "cpu-share", linear{}, designInstances, 1.9, "% of a core", 100},
		{"instances", "memory-bytes", linear{}, designInstances, 256, "MB", 1e-6},
		{"instances", "peer-bytes-per-s", linear{}, designInstances, 25, "KB/s", 1e-3},
		{"instances", "report-bytes-per-s", linear{}, designInstances, 25, "KB/s", 1e-3},
		{"instances", "platform-bytes-per-s", linear{}, designInstances, 25, "KB/s", 1e-3},
		{"instances", "fleet-reads-per-s", linear{}, designInstances, 1000, "reads/s", 1},
		{"instances", "fleet-writes-per-s", linear{}, designInstances, 150, "writes/s", 1},
		{"instances", "peer-connections", linear{}, designInstances, 0, "connections", 1},
		{"instances", "in-force-s", logarithmic{}, designInstances, 4, "s", 1},
		{"organisations", "peer-bytes-per-s", linear{}, organisationsPerInstance, 25, "KB/s", 1e-3},
		{"organisations", "cpu-share", linear{}, organisationsPerInstance, 0, "% of a core, the calls included", 100},
		{"tokens", "cpu-share", linear{}, tokenRatePerInstance, 0, "% of a core, relaying", 100},
		{"tokens", "peer-bytes-per-s", linear{}, tokenRatePerInstance, 0, "KB/s, with every token copied", 1e-3},
		{"tokens", "memory-bytes", linear{}, tokenRatePerInstance, 0, "MB", 1e-6},
	}
}

// Report reads rows and prints each figure with the fitted line, its error, the extrapolated value and the bound.
func Report(in io.Reader, out io.Writer) error {
	rows, err := readRows(in)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERIES\tVALUE\tSIZES\tMEASURED\tBASE\tSLOPE\tFIT ERROR\tAT\tEXTRAPOLATED\tBOUND\tRATIO")
	for _, f := range figures() {
		xs, ys := points(rows, f)
		if len(xs) < 2 {
			_, _ = fmt.Fprintf(w, "%s\t%s\tnot run\n", f.series, f.value)
			continue
		}
		l := fit(xs, ys, f.growth)
		extrapolated := l.at(f.at, f.growth)
		bound, ratio := "-", "-"
		if f.bound > 0 {
			bound = fmt.Sprintf("%g", f.bound)
			ratio = fmt.Sprintf("%.2f", extrapolated/f.bound)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g..%g\t%.3g..%.3g\t%.3g\t%.3g\t%.2g\t%.4g\t%.3g %s\t%s\t%s\n",
			f.series, f.value, xs[0], xs[len(xs)-1], ys[0], ys[len(ys)-1], l.intercept, l.slope, l.rmsError, f.at, extrapolated, f.unit, bound, ratio)
	}
	return w.Flush()
}

// at returns the fitted value at a size.
func (l fittedLine) at(x float64, g growth) float64 {
	return l.intercept + l.slope*scaledSize(x, g)
}

// fit returns the least-squares fit of points.
func fit(xs, ys []float64, g growth) fittedLine {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		x := scaledSize(xs[i], g)
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	l := fittedLine{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.intercept = (sy - l.slope*sx) / n
	for i := range xs {
		r := ys[i] - l.at(xs[i], g)
		l.rmsError += r * r
	}
	l.rmsError = math.Sqrt(l.rmsError / n)
	return l
}

// points returns the sizes and the measured values of a figure, in its printed unit. The size of the tokens series is
// the measured token rate, not the number of streams.
func points(rows []Row, f figure) (xs, ys []float64) {
	for _, r := range rows {
		if y, ok := r.Values[f.value]; ok && r.Series == f.series {
			xs = append(xs, r.Size)
			ys = append(ys, y*f.scale)
		}
	}
	if f.series == "tokens" {
		for i := range xs {
			xs[i] = rows[indexOf(rows, f.series, i)].Values["tokens-per-s"]
		}
	}
	return xs, ys
}

// indexOf returns the index of a series' row by its ordinal from 0, or 0 when there are not as many rows.
func indexOf(rows []Row, series string, ordinal int) int {
	for i, r := range rows {
		if r.Series != series {
			continue
		}
		if ordinal == 0 {
			return i
		}
		ordinal--
	}
	return 0
}

// readRows reads rows, one JSON object a line.
func readRows(in io.Reader) ([]Row, error) {
	var rows []Row
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		var r Row
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("decode row: %w", err)
		}
		rows = append(rows, r)
	}
	return rows, scanner.Err()
}

// scaledSize returns the size, or its logarithm for logarithmic growth.
func scaledSize(x float64, g growth) float64 {
	if _, ok := g.(logarithmic); ok {
		return math.Log2(x)
	}
	return x
}
