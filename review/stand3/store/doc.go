// Package store implements the platform's store: objects by kind and name, lists, watches and conditional writes, as
// PROTOCOL.md tells.
package store
