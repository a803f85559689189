// Package board keeps what feeds bring in its decoded form: the configuration
// in force and the declared targets.
package board
