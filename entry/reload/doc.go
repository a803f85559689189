// Package reload keeps settings up to date with their file while a process runs.
package reload
