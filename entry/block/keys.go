package block

import (
	"crypto/sha256"
	"encoding/base64"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
)

const (
	// keyPrefix begins the key of a part. No id in a prompt's header has this character.
	keyPrefix = "#"
	// keyBytes is the length of the hash in a key.
	keyBytes = 16
	// maxNames bounds the number of parts whose ids are kept for the log.
	maxNames = 1024
)

// partKey returns the key under which a part is known to other instances and in the store, which hold no ids of parts.
func partKey(part string) string {
	sum := sha256.Sum256([]byte(part))
	return keyPrefix + base64.RawURLEncoding.EncodeToString(sum[:keyBytes])
}

// partKeys returns the keys of some parts in their order.
func partKeys(parts []string) []string {
	keys := make([]string, len(parts))
	for i, part := range parts {
		keys[i] = partKey(part)
	}
	return keys
}

// keyOf returns the key of a part that another instance names by its key or, in earlier builds, by its id.
func keyOf(part string) string {
	if strings.HasPrefix(part, keyPrefix) {
		return part
	}
	return partKey(part)
}

// names maps the keys of parts to their ids, as far as this instance has met them. It is safe for concurrent use.
type names struct {
	mu    sync.Mutex
	byKey map[string]string
}

// add keeps the ids of some parts.
func (n *names) add(parts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byKey == nil || len(n.byKey)+len(parts) > maxNames {
		n.byKey = make(map[string]string)
	}
	for _, part := range parts {
		if !strings.HasPrefix(part, keyPrefix) {
			n.byKey[partKey(part)] = part
		}
	}
}

// of returns the ids of parts, or their keys where the ids are not known, sorted.
func (n *names) of(keys []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = key
		if name, ok := n.byKey[key]; ok {
			list[i] = name
		}
	}
	slices.Sort(list)
	return list
}

// hashDomain returns a hash of a failure domain, or 0 if it is unknown.
func hashDomain(name string) uint64 {
	if name == "" {
		return 0
	}
	return hash(name)
}

// hash returns a hash that is the same on all instances.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
