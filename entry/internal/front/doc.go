// Package front is the HTTP front end: it turns messages of callers into calls
// of the chain, and answers back into messages.
package front
