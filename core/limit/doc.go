// Package limit decides how a ceiling is lent out in slices.
//
// A lender gives each borrower slots that lapse unless renewed. The sum of
// what is lent never passes the ceiling: a borrower's slots count until they
// surely lapsed, and a new lender only confirms what borrowers hold until
// everything lent by a former one has lapsed.
package limit
