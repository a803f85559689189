// Package audit keeps the trail of configuration changes in the platform.
//
// A record is written before its change and closed after it, so that a change
// in force always has a record; a record that was never closed is judged by
// whether its write id stands in the object.
package audit
