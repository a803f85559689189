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
	Forced    []string `json:"forced,omitempty"` // Forced is the start of the answer, which is not generated again.
	Seed      uint64   `json:"seed"`
	MaxTokens int      `json:"max-tokens"` // MaxTokens bounds the answer, forced tokens included.
	Priority  int      `json:"priority"`
}

// vocabulary returns the tokens that answers are made of.
func vocabulary() []string {
	return []string{
		"crest ", "stud ", "sole ", "lace ", "navy ", "white ", "name ", "number ", "menu ", "lunch ",
		"roll ", "salad ", "fruit ", "nuts ", "none ", "for ", "with ", "and ", "on ", "the ",
	}
}

// Text returns the token at an offset, given the hash of the answer before it, and the hash of the answer with it.
func Text(r Request, prefixHash uint64, offset int) (token string, nextHash uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%s/%d/%s/%d/%d", r.Model, r.Adapter, r.Version, r.Seed, r.Prompt, prefixHash, offset)
	tokens := vocabulary()
	token = tokens[h.Sum64()%uint64(len(tokens))]
	return token, Extend(prefixHash, token)
}

// Extend returns the hash of an answer after one more token.
func Extend(prefixHash uint64, token string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", prefixHash, token)
	return h.Sum64()
}

// PromptTokens counts the tokens of a prompt, one per word.
func PromptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
