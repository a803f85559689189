// Package cmd is the command line of the entry instance.
package cmd
