// Package member decides which instances are part of the fleet.
//
// A view is an immutable value. It merges what peers say of each other by
// incarnation number and state, in the manner of SWIM; the platform's lagging
// list may add a member, and only direct evidence makes one suspect or dead.
package member
