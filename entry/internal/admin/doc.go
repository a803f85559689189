// Package admin answers operators: metrics, health, status and drain.
package admin
