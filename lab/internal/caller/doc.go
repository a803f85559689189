// Package caller is a client of the callers' interface, as the users' own are.
package caller
