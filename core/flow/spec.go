package flow

// Spec describes one generation, including everything that determines its text.
type Spec struct {
	ID           string
	Organisation string
	Model        string
	Adapter      string
	Version      string
	Prompt       string
	Seed         uint64
	MaxTokens    int
	Priority     int
}
