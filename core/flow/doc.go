// Package flow decides how one long generation continues: which tokens belong
// to the answer, after how much silence an engine is suspect, and which
// recovery step follows a failure.
//
// Everything here is a pure function over immutable values; reading from
// engines and writing to callers is left to the packages that use it.
package flow
