// Package spill writes log lines without ever blocking who logs.
package spill
