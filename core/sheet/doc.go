// Package sheet reads the sheets that planners export from spreadsheets.
//
// A sheet is CSV: a row with its date, a header row, one row for each
// organisation, and a last row with their number. It may begin with a
// byte-order mark, be separated by commas or semicolons, end lines with CRLF
// and use a decimal comma. A sheet with any fault is rejected whole; every
// fault is reported with its row and column.
package sheet
