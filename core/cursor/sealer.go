package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrInvalidID is returned for an id that is malformed or was not sealed by this fleet for the organisation.
var ErrInvalidID = errors.New("event id was not issued to this organisation by this fleet")

// MaxIDBytes limits the text of an id, in bytes.
const MaxIDBytes = 1024

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

// Open decrypts the cursor of an id that was sealed for the organisation.
func (s *Sealer) Open(organisation, id string) (Cursor, error) {
	var c Cursor
	if len(id) > MaxIDBytes {
		return c, ErrInvalidID
	}
	sealed, err := base64.RawURLEncoding.DecodeString(id)
	if err != nil {
		return c, ErrInvalidID
	}
	plaintext, err := s.aead.Open(nil, nil, sealed, []byte(organisation))
	if err != nil {
		return c, ErrInvalidID
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
