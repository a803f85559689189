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

// The first cells of a sheet's first and last row, which hold its date and its number of organisations.
const (
	dateLabel = "sheet-date"
	endLabel  = "end"
)

// MaxBytes limits the text of a sheet, in bytes, so that the stored object stays under the platform's 1 MiB.
const MaxBytes = 512 << 10

// maxShareSum is 100 with room for rounding in the spreadsheet's export.
const maxShareSum = 100.0001

// Fault is one error in a sheet.
type Fault struct {
	Row    int    // Row counts from 1; 0 stands for the sheet as a whole.
	Column string // Column is empty if the fault concerns a whole row.
	Reason string
}

// Error returns the reason, preceded by the row and column if they are known.
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

// requiredColumns lists the columns that a sheet must have, in the order of the documentation.
func requiredColumns() []string {
	return []string{ColumnOrganisation, ColumnShare, ColumnPriority, ColumnCeiling, ColumnModels, ColumnRecovery}
}

// parser holds the state of parsing one sheet and the faults found so far.
type parser struct {
	columnIndex       map[string]int // By column name, counted from 0.
	faults            []Fault
	rowByOrganisation map[string]int
	shareSum          float64
}

// Parse reads a sheet and returns either the sheet or every fault found.
// exists reports whether an organisation is declared.
func Parse(text []byte, exists func(string) bool) (conf.Sheet, []Fault) {
	if len(text) > MaxBytes {
		return conf.Sheet{}, []Fault{{Reason: fmt.Sprintf("sheet has %d bytes, over %d", len(text), MaxBytes)}}
	}
	rows, err := readRows(text)
	if err != nil {
		return conf.Sheet{}, []Fault{{Reason: err.Error()}}
	}
	p := &parser{rowByOrganisation: make(map[string]int)}
	s := p.sheet(rows, exists)
	if len(p.faults) > 0 {
		return conf.Sheet{}, p.faults
	}
	return s, nil
}

// readRows splits the text into rows of cells and drops empty rows at the end.
// It takes semicolons for the separator if the first line has more of them than commas.
func readRows(text []byte) ([][]string, error) {
	text = bytes.TrimPrefix(text, []byte("\uFEFF"))
	firstLine, _, _ := bytes.Cut(text, []byte("\n"))
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = -1
	if bytes.Count(firstLine, []byte(";")) > bytes.Count(firstLine, []byte(",")) {
		reader.Comma = ';'
	}
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read CSV: %w", err)
	}
	for len(rows) > 0 && isEmptyRow(rows[len(rows)-1]) {
		rows = rows[:len(rows)-1]
	}
	return rows, nil
}

// isEmptyRow reports whether all cells are blank, as in the last rows that spreadsheets export.
func isEmptyRow(row []string) bool {
	return !slices.ContainsFunc(row, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

// addFault records a fault.
func (p *parser) addFault(row int, column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

// readHeader finds the index of each column and reports whether the sheet has no fault so far.
func (p *parser) readHeader(row []string) bool {
	p.columnIndex = make(map[string]int)
	for i, name := range row {
		name = strings.TrimSpace(name)
		if _, duplicate := p.columnIndex[name]; duplicate && name != "" {
			p.addFault(2, name, "column stands twice")
		}
		p.columnIndex[name] = i
	}
	for _, name := range requiredColumns() {
		if _, ok := p.columnIndex[name]; !ok {
			p.addFault(2, name, "column is missing")
		}
	}
	return len(p.faults) == 0
}

// limit reads the row of one organisation.
func (p *parser) limit(rowNumber int, row []string, exists func(string) bool) conf.Limit {
	cell := func(column string) string {
		index := p.columnIndex[column]
		if index >= len(row) {
			p.addFault(rowNumber, column, "cell is missing; the row has %d cells", len(row))
			return ""
		}
		return strings.TrimSpace(row[index])
	}
	l := conf.Limit{
		Organisation: cell(ColumnOrganisation),
		Models:       strings.Fields(cell(ColumnModels)),
		Recovery:     cell(ColumnRecovery),
	}
	p.checkOrganisation(rowNumber, l.Organisation, exists)
	l.Share = p.share(rowNumber, cell(ColumnShare))
	l.Priority = p.integer(rowNumber, ColumnPriority, cell(ColumnPriority), 0)
	l.Ceiling = p.integer(rowNumber, ColumnCeiling, cell(ColumnCeiling), 1)
	if len(l.Models) == 0 {
		p.addFault(rowNumber, ColumnModels, "no model is named; write them with spaces between")
	}
	if _, ok := flow.ParsePolicy(l.Recovery); !ok {
		p.addFault(rowNumber, ColumnRecovery, "%q is not latency, thrift or restart", l.Recovery)
	}
	return l
}

// checkOrganisation checks that an organisation exists and has no earlier row.
func (p *parser) checkOrganisation(rowNumber int, name string, exists func(string) bool) {
	if firstRow, duplicate := p.rowByOrganisation[name]; duplicate {
		p.addFault(rowNumber, ColumnOrganisation, "%q stands in row %d already", name, firstRow)
	}
	p.rowByOrganisation[name] = rowNumber
	if !exists(name) {
		p.addFault(rowNumber, ColumnOrganisation, "%q is not a known organisation", name)
	}
}

// share reads a share with a decimal point or comma.
func (p *parser) share(rowNumber int, text string) float64 {
	share, err := strconv.ParseFloat(strings.Replace(text, ",", ".", 1), 64)
	if err != nil || !(share > 0 && share <= 100) {
		p.addFault(rowNumber, ColumnShare, "%q is not a number above 0 and at most 100", text)
		return 0
	}
	p.shareSum += share
	return share
}

// sheet reads all rows of a sheet.
func (p *parser) sheet(rows [][]string, exists func(string) bool) conf.Sheet {
	if len(rows) < 3 {
		p.addFault(0, "", "sheet is truncated: it needs a %s row, a header and an %s row", dateLabel, endLabel)
		return conf.Sheet{}
	}
	s := conf.Sheet{Date: p.date(rows[0])}
	if !p.readHeader(rows[1]) {
		return conf.Sheet{}
	}
	last := len(rows) - 1
	for i := 2; i < last; i++ {
		if isEmptyRow(rows[i]) {
			p.addFault(i+1, "", "row is empty")
			continue
		}
		s.Limits = append(s.Limits, p.limit(i+1, rows[i], exists))
	}
	p.checkEnd(last+1, rows[last], len(s.Limits))
	if p.shareSum > maxShareSum {
		p.addFault(0, "", "shares sum to %g, over 100", p.shareSum)
	}
	return s
}

// date reads the date from the first row.
func (p *parser) date(row []string) string {
	if len(row) < 2 || strings.TrimSpace(row[0]) != dateLabel {
		p.addFault(1, "", "first row must be %s and the date", dateLabel)
		return ""
	}
	date := strings.TrimSpace(row[1])
	if _, err := time.Parse(time.DateOnly, date); err != nil {
		p.addFault(1, dateLabel, "%q is not a date as YYYY-MM-DD", date)
	}
	return date
}

// checkEnd checks the number of organisations in the last row, to detect truncated sheets.
func (p *parser) checkEnd(rowNumber int, row []string, organisationCount int) {
	if len(row) < 2 || strings.TrimSpace(row[0]) != endLabel {
		p.addFault(rowNumber, "", "sheet is truncated: last row must be %s and the number of organisations", endLabel)
		return
	}
	stated, err := strconv.Atoi(strings.TrimSpace(row[1]))
	if err != nil || stated != organisationCount {
		p.addFault(rowNumber, endLabel, "%q organisations are stated, %d are there", row[1], organisationCount)
	}
}

// integer reads a whole number from minimum to 1000000.
func (p *parser) integer(rowNumber int, column, text string, minimum int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > 1_000_000 {
		p.addFault(rowNumber, column, "%q is not a whole number from %d to 1000000", text, minimum)
	}
	return n
}

// ErrOlder is returned for a sheet whose date is before the current sheet's.
var ErrOlder = errors.New("sheet is older than the one that stands")

// CheckNotOlder returns an error if the next sheet has an older date than the current one.
func CheckNotOlder(current, next conf.Sheet) error {
	if next.Date < current.Date {
		return fmt.Errorf("%s before %s: %w", next.Date, current.Date, ErrOlder)
	}
	return nil
}
