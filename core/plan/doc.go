// Package plan decides which targets of a service a request may go to, by the
// versions of the targets and the state of the service's roll-out.
package plan
