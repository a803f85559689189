package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes limits one encoded message, in bytes.
const MaxMessageBytes = 16 << 20

// ErrUnknownMessage is returned for an encoding that holds no message of a known type.
var ErrUnknownMessage = errors.New("no message of a known type")

// envelope is the encoded form of a message: exactly one field is set, and its key tells the type.
type envelope struct {
	Gossip        *Gossip        `cbor:"1,keyasint,omitempty"`
	PullConfig    *PullConfig    `cbor:"2,keyasint,omitempty"`
	ConfigPage    *ConfigPage    `cbor:"3,keyasint,omitempty"`
	SaveLogs      *SaveLogs      `cbor:"4,keyasint,omitempty"`
	SaveLogsReply *SaveLogsReply `cbor:"5,keyasint,omitempty"`
	TakeOver      *TakeOver      `cbor:"6,keyasint,omitempty"`
	TakeOverReply *TakeOverReply `cbor:"7,keyasint,omitempty"`
	BorrowSlots   *BorrowSlots   `cbor:"8,keyasint,omitempty"`
	SlotGrants    *SlotGrants    `cbor:"9,keyasint,omitempty"`
	RunKeyedCall  *RunKeyedCall  `cbor:"10,keyasint,omitempty"`
	CallOutcome   *CallOutcome   `cbor:"11,keyasint,omitempty"`
	Failure       *Failure       `cbor:"12,keyasint,omitempty"`
	PullUpdates   *PullUpdates   `cbor:"13,keyasint,omitempty"`
	Updates       *Updates       `cbor:"14,keyasint,omitempty"`
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
	case e.SaveLogs != nil:
		return *e.SaveLogs, nil
	case e.SaveLogsReply != nil:
		return *e.SaveLogsReply, nil
	case e.TakeOver != nil:
		return *e.TakeOver, nil
	case e.TakeOverReply != nil:
		return *e.TakeOverReply, nil
	case e.BorrowSlots != nil:
		return *e.BorrowSlots, nil
	case e.SlotGrants != nil:
		return *e.SlotGrants, nil
	case e.RunKeyedCall != nil:
		return *e.RunKeyedCall, nil
	case e.CallOutcome != nil:
		return *e.CallOutcome, nil
	case e.Failure != nil:
		return *e.Failure, nil
	case e.PullUpdates != nil:
		return *e.PullUpdates, nil
	case e.Updates != nil:
		return *e.Updates, nil
	default:
		return nil, ErrUnknownMessage
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
	case SaveLogs:
		return envelope{SaveLogs: &t}
	case SaveLogsReply:
		return envelope{SaveLogsReply: &t}
	case TakeOver:
		return envelope{TakeOver: &t}
	case TakeOverReply:
		return envelope{TakeOverReply: &t}
	case BorrowSlots:
		return envelope{BorrowSlots: &t}
	case SlotGrants:
		return envelope{SlotGrants: &t}
	case RunKeyedCall:
		return envelope{RunKeyedCall: &t}
	case CallOutcome:
		return envelope{CallOutcome: &t}
	case Failure:
		return envelope{Failure: &t}
	case PullUpdates:
		return envelope{PullUpdates: &t}
	case Updates:
		return envelope{Updates: &t}
	default:
		return envelope{}
	}
}
