// Package conf holds the current configuration as one immutable snapshot.
//
// A snapshot is complete up to a revision of the platform's object API and
// never goes back: every With method returns a snapshot that is at least as
// new as its receiver. The package reads and writes no encoding; package decl
// converts stored objects to the types of this package.
//
// Members are the parties that share the fleet. Each has a sheet, which sets
// the limits of its organisations.
package conf
