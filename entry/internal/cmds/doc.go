// Package cmds is the command line of the entry instance.
package cmds
