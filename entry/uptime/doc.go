// Package uptime reads the clock of the machine that goes on while the machine is suspended.
package uptime
