package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/flow"
	"github.com/pkg/errors"
)

// The columns of a sheet.
const (
	ColumnOrganisation = "organisation"
	ColumnShare        = "share"
	ColumnPriority     = "priority"
	ColumnCeiling      = "ceiling"
	ColumnModels       = "models"
	ColumnRecovery     = "recovery"
)

// The marks of a sheet's first and last row: the first names the date, the last the number of rows.
const (
	dateMark = "sheet-date"
	endMark  = "end"
)

// MaxSize bounds the text of a sheet, in bytes, so that its object stays under the platform's 1 MiB.
const MaxSize = 512 << 10

// maxShares bounds the sum of the shares, with room for rounding in the export.
const maxShares = 100.0001

// Fault is one thing wrong with a sheet, by row and column counted from 1; 0 stands for the sheet as a whole.
type Fault struct {
	Row    int
	Column string
	Reason string
}

// Error describes the fault with its place.
func (f Fault) Error() string {
	switch {
	case f.Row == 0:
		return f.Reason
	case f.Column == "":
		return fmt.Sprintf("row %d: %s", f.Row, f.Reason)
	default:
		return fmt.Sprintf("row %d, column %s: %s", f.Row, f.Column, f.Reason)
	}
}

// columns lists the columns that a sheet must have, in the order of the documentation.
func columns() []string {
	return []string{ColumnOrganisation, ColumnShare, ColumnPriority, ColumnCeiling, ColumnModels, ColumnRecovery}
}

// parser collects the faults of one sheet.
type parser struct {
	positions map[string]int
	faults    []Fault
	seen      map[string]int
	sum       float64
}

// Parse reads a sheet; known tells which organisations exist. It returns every fault found.
func Parse(text []byte, known func(string) bool) (conf.Sheet, []Fault) {
	if len(text) > MaxSize {
		return conf.Sheet{}, []Fault{{Reason: fmt.Sprintf("sheet has %d bytes, over %d", len(text), MaxSize)}}
	}
	rows, err := read(text)
	if err != nil {
		return conf.Sheet{}, []Fault{{Reason: err.Error()}}
	}
	p := &parser{seen: make(map[string]int)}
	s := p.sheet(rows, known)
	if len(p.faults) > 0 {
		return conf.Sheet{}, p.faults
	}
	return s, nil
}

// read splits the text into rows, whatever spreadsheet wrote it.
func read(text []byte) ([][]string, error) {
	text = bytes.TrimPrefix(text, []byte("\uFEFF"))
	first, _, _ := bytes.Cut(text, []byte("\n"))
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = -1
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		reader.Comma = ';'
	}
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read CSV: %w", err)
	}
	for len(rows) > 0 && empty(rows[len(rows)-1]) {
		rows = rows[:len(rows)-1]
	}
	return rows, nil
}

// empty tells whether no cell of a row holds anything, as in the last rows that spreadsheets export.
func empty(row []string) bool {
	return !slices.ContainsFunc(row, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

// fault notes a fault.
func (p *parser) fault(row int, column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

// header finds the position of each column.
func (p *parser) header(row []string) bool {
	p.positions = make(map[string]int)
	for i, name := range row {
		name = strings.TrimSpace(name)
		if _, twice := p.positions[name]; twice && name != "" {
			p.fault(2, name, "column stands twice")
		}
		p.positions[name] = i
	}
	for _, name := range columns() {
		if _, ok := p.positions[name]; !ok {
			p.fault(2, name, "column is missing")
		}
	}
	return len(p.faults) == 0
}

// limit reads one row.
func (p *parser) limit(number int, row []string, known func(string) bool) conf.Limit {
	cell := func(column string) string {
		at := p.positions[column]
		if at >= len(row) {
			p.fault(number, column, "cell is missing; the row has %d cells", len(row))
			return ""
		}
		return strings.TrimSpace(row[at])
	}
	l := conf.Limit{
		Organisation: cell(ColumnOrganisation),
		Models:       strings.Fields(cell(ColumnModels)),
		Recovery:     cell(ColumnRecovery),
	}
	p.organisation(number, l.Organisation, known)
	l.Share = p.share(number, cell(ColumnShare))
	l.Priority = p.whole(number, ColumnPriority, cell(ColumnPriority), 0)
	l.Ceiling = p.whole(number, ColumnCeiling, cell(ColumnCeiling), 1)
	if len(l.Models) == 0 {
		p.fault(number, ColumnModels, "no model is named; write them with spaces between")
	}
	if _, ok := flow.ParsePolicy(l.Recovery); !ok {
		p.fault(number, ColumnRecovery, "%q is not latency, thrift or restart", l.Recovery)
	}
	return l
}

// organisation checks that a name is known and stands once.
func (p *parser) organisation(number int, name string, known func(string) bool) {
	if first, twice := p.seen[name]; twice {
		p.fault(number, ColumnOrganisation, "%q stands in row %d already", name, first)
	}
	p.seen[name] = number
	if !known(name) {
		p.fault(number, ColumnOrganisation, "%q is not a known organisation", name)
	}
}

// share reads a share with a decimal point or comma.
func (p *parser) share(number int, text string) float64 {
	share, err := strconv.ParseFloat(strings.Replace(text, ",", ".", 1), 64)
	if err != nil || !(share > 0 && share <= 100) {
		p.fault(number, ColumnShare, "%q is not a number above 0 and at most 100", text)
		return 0
	}
	p.sum += share
	return share
}

// sheet reads the rows between the date row and the end row.
func (p *parser) sheet(rows [][]string, known func(string) bool) conf.Sheet {
	if len(rows) < 3 {
		p.fault(0, "", "sheet is truncated: it needs a %s row, a header and an %s row", dateMark, endMark)
		return conf.Sheet{}
	}
	s := conf.Sheet{Date: p.date(rows[0])}
	if !p.header(rows[1]) {
		return conf.Sheet{}
	}
	last := len(rows) - 1
	for i := 2; i < last; i++ {
		if empty(rows[i]) {
			p.fault(i+1, "", "row is empty")
			continue
		}
		s.Limits = append(s.Limits, p.limit(i+1, rows[i], known))
	}
	p.end(last+1, rows[last], len(s.Limits))
	if p.sum > maxShares {
		p.fault(0, "", "shares sum to %g, over 100", p.sum)
	}
	return s
}

// date reads the first row.
func (p *parser) date(row []string) string {
	if len(row) < 2 || strings.TrimSpace(row[0]) != dateMark {
		p.fault(1, "", "first row must be %s and the date", dateMark)
		return ""
	}
	date := strings.TrimSpace(row[1])
	if _, err := time.Parse(time.DateOnly, date); err != nil {
		p.fault(1, dateMark, "%q is not a date as YYYY-MM-DD", date)
	}
	return date
}

// end checks the last row, which shows that the sheet is not truncated.
func (p *parser) end(number int, row []string, count int) {
	if len(row) < 2 || strings.TrimSpace(row[0]) != endMark {
		p.fault(number, "", "sheet is truncated: last row must be %s and the number of organisations", endMark)
		return
	}
	stated, err := strconv.Atoi(strings.TrimSpace(row[1]))
	if err != nil || stated != count {
		p.fault(number, endMark, "%q organisations are stated, %d are there", row[1], count)
	}
}

// whole reads a whole number.
func (p *parser) whole(number int, column, text string, least int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > 1_000_000 {
		p.fault(number, column, "%q is not a whole number from %d to 1000000", text, least)
	}
	return n
}

// ErrOlder is returned for a sheet dated before the one that stands.
var ErrOlder = errors.New("sheet is older than the one that stands")

// Admit decides whether a sheet may replace the one that stands.
func Admit(standing, next conf.Sheet) error {
	if next.Date < standing.Date {
		return fmt.Errorf("%s before %s: %w", next.Date, standing.Date, ErrOlder)
	}
	return nil
}
