// Package slopes measures what a role costs at several sizes, fits the slope
// and extrapolates to the size to design for.
package slopes
