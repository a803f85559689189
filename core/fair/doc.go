// Package fair decides in which order waiting generations get engine capacity.
//
// Organisations share capacity by weighted fair queuing: service advances an
// organisation's virtual time, more slowly for a larger share, and the one that
// would finish first goes next. What an organisation does not use is shared by
// the others without further rules.
package fair
