// Package grace tells what an instance can still do between the signal to stop and
// the end of its process.
package grace
