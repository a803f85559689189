package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxSize limits one encoded message, in bytes.
const MaxSize = 16 << 20

// ErrEmpty is returned for an encoding that holds no message of a known type.
var ErrEmpty = errors.New("no message of a known type")

// envelope is the encoded form of a message: exactly one field is set, and its key tells the type.
type envelope struct {
	Gossip     *Gossip     `cbor:"1,keyasint,omitempty"`
	PullConfig *PullConfig `cbor:"2,keyasint,omitempty"`
	ConfigPage *ConfigPage `cbor:"3,keyasint,omitempty"`
	Keep       *Keep       `cbor:"4,keyasint,omitempty"`
	Kept       *Kept       `cbor:"5,keyasint,omitempty"`
	Adopt      *Adopt      `cbor:"6,keyasint,omitempty"`
	Adopted    *Adopted    `cbor:"7,keyasint,omitempty"`
	Borrow     *Borrow     `cbor:"8,keyasint,omitempty"`
	Lent       *Lent       `cbor:"9,keyasint,omitempty"`
	Spend      *Spend      `cbor:"10,keyasint,omitempty"`
	Spent      *Spent      `cbor:"11,keyasint,omitempty"`
	Failed     *Failed     `cbor:"12,keyasint,omitempty"`
	Pull       *Pull       `cbor:"13,keyasint,omitempty"`
	Pages      *Pages      `cbor:"14,keyasint,omitempty"`
}

// Decode returns the message that raw encodes.
func Decode(raw []byte) (Message, error) {
	var e envelope
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	switch {
	case e.Gossip != nil:
		return *e.Gossip, nil
	case e.PullConfig != nil:
		return *e.PullConfig, nil
	case e.ConfigPage != nil:
		return *e.ConfigPage, nil
	case e.Keep != nil:
		return *e.Keep, nil
	case e.Kept != nil:
		return *e.Kept, nil
	case e.Adopt != nil:
		return *e.Adopt, nil
	case e.Adopted != nil:
		return *e.Adopted, nil
	case e.Borrow != nil:
		return *e.Borrow, nil
	case e.Lent != nil:
		return *e.Lent, nil
	case e.Spend != nil:
		return *e.Spend, nil
	case e.Spent != nil:
		return *e.Spent, nil
	case e.Failed != nil:
		return *e.Failed, nil
	case e.Pull != nil:
		return *e.Pull, nil
	case e.Pages != nil:
		return *e.Pages, nil
	default:
		return nil, ErrEmpty
	}
}

// Encode returns the encoding of a message.
func Encode(m Message) ([]byte, error) {
	raw, err := cbor.Marshal(wrap(m))
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return raw, nil
}

// wrap returns an envelope that holds the message.
func wrap(m Message) envelope {
	switch t := m.(type) {
	case Gossip:
		return envelope{Gossip: &t}
	case PullConfig:
		return envelope{PullConfig: &t}
	case ConfigPage:
		return envelope{ConfigPage: &t}
	case Keep:
		return envelope{Keep: &t}
	case Kept:
		return envelope{Kept: &t}
	case Adopt:
		return envelope{Adopt: &t}
	case Adopted:
		return envelope{Adopted: &t}
	case Borrow:
		return envelope{Borrow: &t}
	case Lent:
		return envelope{Lent: &t}
	case Spend:
		return envelope{Spend: &t}
	case Spent:
		return envelope{Spent: &t}
	case Failed:
		return envelope{Failed: &t}
	case Pull:
		return envelope{Pull: &t}
	case Pages:
		return envelope{Pages: &t}
	default:
		return envelope{}
	}
}
