package token

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrForged is returned for an id that is malformed or was not sealed by this fleet for the organisation.
var ErrForged = errors.New("event id was not issued to this organisation by this fleet")

// MaxLength limits the text of an id, in bytes.
const MaxLength = 1024

// Cursor is a position in a token stream, with what another instance needs to resume the stream from there. It is
// immutable.
type Cursor struct {
	Request string `cbor:"1,keyasint"` // Request is the request id.
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint,omitempty"`
	Version string `cbor:"4,keyasint"`
	Target  string `cbor:"5,keyasint"`            // Target is the name of the engine that runs the attempt.
	Attempt int    `cbor:"6,keyasint"`            // Attempt numbers the attempts of the request, from 1.
	Offset  int    `cbor:"7,keyasint"`            // Offset is the number of tokens delivered.
	Hash    uint64 `cbor:"8,keyasint"`            // Hash is the running hash of the tokens delivered.
	Origin  string `cbor:"9,keyasint"`            // Origin is the instance that accepted the request.
	Keeper  string `cbor:"10,keyasint,omitempty"` // Keeper is the peer that holds a copy of the generation.
	Seed    uint64 `cbor:"11,keyasint"`
	Max     int    `cbor:"12,keyasint"` // Max is the request's limit of tokens.
	Owner   string `cbor:"13,keyasint"` // Owner is the id of the run that started the attempt; resuming begins a new run.
}

// WithProgress returns the cursor with a new position: after offset tokens of an attempt of owner at target.
func (c Cursor) WithProgress(target, owner string, attempt, offset int, hash uint64) Cursor {
	c.Target = target
	c.Owner = owner
	c.Attempt = attempt
	c.Offset = offset
	c.Hash = hash
	return c
}

// Sealer encrypts cursors into ids and decrypts them; it is safe for concurrent use.
type Sealer struct {
	aead cipher.AEAD
}

// NewSealer derives the sealing key from the fleet's secret.
func NewSealer(secret []byte) (*Sealer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "bramleywharf event id", 32)
	if err != nil {
		return nil, fmt.Errorf("derive event id key: %w", err)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, fmt.Errorf("create event id cipher: %w", err)
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, fmt.Errorf("create event id AEAD: %w", err)
	}
	return &Sealer{aead: aead}, nil
}

// NewID returns a random identifier for a request or write.
func NewID() string {
	return rand.Text()
}

// Open decrypts the cursor of an id that was sealed for the organisation.
func (s *Sealer) Open(organisation, id string) (Cursor, error) {
	var c Cursor
	if len(id) > MaxLength {
		return c, ErrForged
	}
	sealed, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil {
		return c, ErrForged
	}
	plaintext, err := s.aead.Open(nil, nil, sealed, []byte(organisation))
	if err != nil {
		return c, ErrForged
	}
	if err := cbor.Unmarshal(plaintext, &c); err != nil {
		return c, fmt.Errorf("decode event id: %w", err)
	}
	return c, nil
}

// Seal encrypts a cursor into an id that is valid only for the organisation.
func (s *Sealer) Seal(organisation string, c Cursor) (string, error) {
	plaintext, err := cbor.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode event id: %w", err)
	}
	sealed := s.aead.Seal(nil, nil, plaintext, []byte(organisation))
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}
