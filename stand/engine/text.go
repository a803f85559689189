package engine

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Request asks for one generation; it is also the body of POST /v1/generations.
type Request struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Version   string   `json:"version"`
	Prompt    string   `json:"prompt"`
	Forced    []string `json:"forced,omitempty"`
	Seed      uint64   `json:"seed"`
	MaxTokens int      `json:"max-tokens"`
	Priority  int      `json:"priority"`
}

// words are the pieces that answers are made of.
func words() []string {
	return []string{
		"crest ", "stud ", "sole ", "lace ", "navy ", "white ", "name ", "number ", "menu ", "lunch ",
		"roll ", "salad ", "fruit ", "nuts ", "none ", "for ", "with ", "and ", "on ", "the ",
	}
}

// Text returns the token at an offset, given a hash of everything before it.
func Text(r Request, before uint64, offset int) (text string, after uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%s/%d/%s/%d/%d", r.Model, r.Adapter, r.Version, r.Seed, r.Prompt, before, offset)
	list := words()
	text = list[h.Sum64()%uint64(len(list))]
	return text, Extend(before, text)
}

// Extend adds a token to the hash of a text.
func Extend(before uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", before, text)
	return h.Sum64()
}

// PromptTokens counts the tokens of a prompt as its words.
func PromptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
