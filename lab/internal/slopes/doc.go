// Package slopes measures the resource use of instances at several sizes, fits
// how it grows and extrapolates it to the size that the system is designed for.
package slopes
