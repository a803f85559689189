// Package logbuf writes log lines in the background, so that logging never
// blocks the caller; lines beyond the buffer are dropped.
package logbuf
