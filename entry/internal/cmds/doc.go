// Package cmds holds the command line of the entry program.
package cmds
