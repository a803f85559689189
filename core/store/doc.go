// Package store reads and writes the platform's objects and reads its list of instances.
//
// Store is the interface. HTTP is a client of the platform's object API, and
// Memory is an in-memory implementation with injectable faults for tests.
// Instrumented wraps a store with metrics; Verifying wraps one so that a write
// whose response was lost is read back to learn its outcome. Values are JSON;
// the platform limits each object to 1 MiB.
package store
