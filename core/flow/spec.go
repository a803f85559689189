package flow

// Spec pins everything that decides the text of one generation.
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
