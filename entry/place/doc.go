// Package place remembers the targets that have read the prompts of sessions.
package place
