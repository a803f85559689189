// Package audit keeps the trail of configuration changes in the platform.
//
// A record is written before its change and completed after it, so that every
// applied change has a record. The change of an incomplete record counts as
// accepted if the object still carries its write id.
package audit
