package series

const (
	// minSteps is the number of equal steps after which a stream is expected to go on with them.
	minSteps = 3
	// minServiceSteps is the number of equal steps in the streams of a service after which all its streams are expected to
	// have them.
	minServiceSteps = 16
)

// Steps is what is known of the differences between the ids of successive events, in one stream or in all streams of a
// service. It is immutable; the zero value knows nothing.
type Steps struct {
	size   int64 // size is that of all steps so far.
	count  int   // count is the number of steps, up to minServiceSteps.
	uneven bool  // uneven tells that steps of different sizes have been seen.
}

// With returns the steps after one more of a size.
func (s Steps) With(size int64) Steps {
	switch {
	case s.uneven:
	case s.count == 0:
		s = Steps{size: size, count: 1}
	case s.size != size:
		s = Steps{uneven: true}
	case s.count < minServiceSteps:
		s.count++
	}
	return s
}
