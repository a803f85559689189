// Package cmds implements the command line of the stand-ins.
package cmds
