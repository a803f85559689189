// Package cmds is the operators' command line, one file for each subcommand.
package cmds
