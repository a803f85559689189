package route

// Preference orders the targets for a stream: by cost, then by score in the order of the session, then by name.
type Preference struct {
	Cost  float64
	Score uint64
	Name  string
}

// Precedes reports whether the target of p comes before that of other.
func (p Preference) Precedes(other Preference) bool {
	switch {
	case p.Cost != other.Cost:
		return p.Cost < other.Cost
	case p.Score != other.Score:
		return p.Score > other.Score
	default:
		return p.Name <= other.Name
	}
}
