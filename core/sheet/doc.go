// Package sheet reads the sheets that planners export from spreadsheets.
//
// A sheet is CSV with a header row. It may begin with a byte-order mark, be
// separated by commas or semicolons, end lines with CRLF and use a decimal
// comma. A sheet with any fault is rejected whole, with every fault by row and
// column.
package sheet
