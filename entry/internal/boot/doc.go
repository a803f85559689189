// Package boot puts an entry instance together from its settings and takes it
// down again without cutting a request.
package boot
