// Package opts reads settings from flags and environment variables.
//
// Each flag --some-name is also read from BRAMLEYWHARF_SOME_NAME; a flag on the
// command line takes precedence. Checks report every fault at once.
package opts
