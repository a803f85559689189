package chain

// Part is a part of a prompt. Requests may share parts, which targets keep in their caches.
type Part struct {
	ID     string
	Tokens int
}

// Prompt lists the parts of a prompt in order; the last one belongs to the request or its session alone.
type Prompt []Part

// Session returns the id of the last part, or an empty string if there is none.
func (p Prompt) Session() string {
	if len(p) == 0 {
		return ""
	}
	return p[len(p)-1].ID
}

// Shared returns the ids of the parts that other requests may have as well, which are all but the last.
func (p Prompt) Shared() []string {
	if len(p) < 2 {
		return nil
	}
	ids := make([]string, 0, len(p)-1)
	for _, part := range p[:len(p)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int {
	sum := 0
	for _, part := range p {
		sum += part.Tokens
	}
	return sum
}
