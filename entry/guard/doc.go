// Package guard watches the attempts of streams. A monitor reports when its
// target may be lost, and has a replica of the stream's prompt memory kept at
// another target.
package guard
