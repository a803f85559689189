// Package recall keeps the losses of parts that crash targets in the platform's store, so that they outlast the loss of
// all instances at once.
//
// An instance that has found a crash stores it at once. Elected instances store what else the stored object lacks, such as
// excuses, and all of it again when the store has come back from a copy. An instance that starts waits until it has read
// the object.
package recall
