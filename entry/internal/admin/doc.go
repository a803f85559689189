// Package admin serves operators over HTTP: metrics, health, status and drain.
package admin
