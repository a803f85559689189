// Package conf holds the configuration in force as one immutable snapshot.
//
// A snapshot is complete up to a revision of the platform's object API and
// never moves back: every With method returns a snapshot that is at least as
// new as its receiver. The package reads and writes no encoding; package decl
// turns stored objects into the values declared here.
package conf
