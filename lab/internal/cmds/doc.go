// Package cmds is the command line of the lab, one file for each subcommand.
package cmds
