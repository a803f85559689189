package loose

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// maxPart bounds the size of a part that Decode reads, in bytes. Parts of other writers may be as large as the store
// allows, and decoding them takes time that an instance needs to follow the rest.
const maxPart = 64 << 10

// ErrTooLarge means that a part of a value is too large to be decoded.
var ErrTooLarge = errors.New("value is too large")

// ErrNoList means that a value is no list whose elements can be told apart.
var ErrNoList = errors.New("value is no list")

// maxWhole bounds numbers that are exact in a float64.
const maxWhole = 1 << 53

// Decode decodes a part of a value into v, unless the part is too large.
func Decode(raw []byte, v any) error {
	if len(raw) > maxPart {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(raw))
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode part: %w", err)
	}
	return nil
}

// Fields returns the encoded values of an object's fields by name, and false if raw is no object. Of fields with the
// same name it returns the last one.
func Fields(raw []byte) (map[string][]byte, bool) {
	parts, ok := split(raw, '{', '}')
	if !ok {
		return nil, false
	}
	fields := make(map[string][]byte, len(parts))
	for _, part := range parts {
		end := valueEnd(part, 0)
		value, hasValue := bytes.CutPrefix(bytes.TrimSpace(part[end:]), []byte(":"))
		var name string
		if !hasValue || json.Unmarshal(part[:end], &name) != nil {
			return nil, false
		}
		fields[name] = bytes.TrimSpace(value)
	}
	return fields, true
}

// Items returns the encoded elements of a list, and false if raw is no list.
func Items(raw []byte) ([][]byte, bool) {
	return split(raw, '[', ']')
}

// OptionalItems returns the elements of a list, none if it is absent or null, and ErrNoList for anything else.
func OptionalItems(raw []byte) ([][]byte, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	items, ok := Items(raw)
	if !ok {
		return nil, ErrNoList
	}
	return items, nil
}

// Whole returns a number as an integer, and false if it is none or if a float64 may have rounded it.
func Whole(number float64) (int64, bool) {
	if math.Abs(number) > maxWhole || number != math.Trunc(number) {
		return 0, false
	}
	return int64(number), true
}

// split returns the parts between the brackets of a value, which are separated by commas.
func split(raw []byte, opening, closing byte) ([][]byte, bool) {
	raw = bytes.TrimSpace(raw)
	if len(raw) < 2 || raw[0] != opening || raw[len(raw)-1] != closing {
		return nil, false
	}
	raw = raw[1 : len(raw)-1]
	var parts [][]byte
	for start := 0; len(bytes.TrimSpace(raw[start:])) > 0; {
		end := start
		for end < len(raw) && raw[end] != ',' {
			next := valueEnd(raw, end)
			if next == end {
				return nil, false
			}
			end = next
		}
		parts = append(parts, bytes.TrimSpace(raw[start:end]))
		start = min(end+1, len(raw))
	}
	return parts, true
}

// valueEnd returns the end of the string, list or object that begins at a position, or of the single byte there; it
// returns the position itself if there is no such end.
func valueEnd(raw []byte, start int) int {
	depth := 0
	for i := start; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth < 0 || i >= len(raw) {
			return start
		}
		if depth == 0 {
			return i + 1
		}
	}
	return start
}

// stringEnd returns the position of the quote that ends the string that begins at a position, or the length of raw.
func stringEnd(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}
