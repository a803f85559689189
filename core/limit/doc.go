// Package limit divides a ceiling, the bound on an organisation's concurrent
// generations, into slices for the instances.
//
// A lender grants each borrower slots that lapse unless renewed. The sum of
// the lent slots never exceeds the ceiling: a borrower's slots count until
// they have certainly lapsed, and a new lender only confirms the slots that
// borrowers hold until all slices of the former lender have lapsed.
package limit
