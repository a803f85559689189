// Package origin plays the servers of services, each in a process of its own.
package origin
