// Package loads keeps the newest load report of each other instance.
package loads
