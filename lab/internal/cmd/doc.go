// Package cmd is the command line of the lab, one file for each subcommand.
package cmd
