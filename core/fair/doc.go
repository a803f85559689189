// Package fair decides in which order waiting generations get engine capacity.
//
// Organisations share capacity by weighted fair queuing: each served
// generation advances its organisation's virtual finish time, by less for a
// larger share, and the one with the earliest finish time goes next. Capacity
// that an organisation does not use goes to the others.
package fair
