// Package cmds implements the operators' command line.
package cmds
