// Package member decides which instances are part of the fleet.
//
// A view is an immutable value. It merges the updates that peers send about
// each other by incarnation number and state, as in SWIM. The platform's list
// of instances lags, so that it may add a member, but only failed probes make
// one suspect or dead.
package member
