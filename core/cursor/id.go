package cursor

import "crypto/rand"

// NewID returns a random identifier for a request or write.
func NewID() string {
	return rand.Text()
}
