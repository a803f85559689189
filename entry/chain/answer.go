package chain

import (
	"time"

	"bramleywharf.example/core/deny"
)

// Answer is the sealed set of results of a call: Streamed, Whole, Addresses, Passed, Finished, Severed, Refused, Left
// and Stopped.
type Answer interface {
	isAnswer()
}

// Streamed means that all tokens of a generation were written to the sink.
type Streamed struct {
	Reason string // Reason is the engine's finish reason.
	Tokens int
}

// Whole is the complete response of a plain service, one that is not a model engine.
type Whole struct {
	Status      int
	ContentType string
	Body        []byte
}

// Addresses lists the instances that a caller should use, best first.
type Addresses struct {
	Organisation string // Organisation is that of the caller.
	List         []Address
	Life         time.Duration // Life is how long the caller may use the list.
}

// Address is the address of one instance.
type Address struct {
	Instance string
	Domain   string // Domain is the instance's failure domain.
	Address  string
}

// Refused means that the call was refused.
type Refused struct {
	Refusal deny.Refusal
}

// Left means that the caller disconnected or resumed the stream at another instance.
type Left struct{}

func (Streamed) isAnswer()  {}
func (Whole) isAnswer()     {}
func (Addresses) isAnswer() {}
func (Refused) isAnswer()   {}
func (Left) isAnswer()      {}

// Refuse returns a refusal as an answer.
func Refuse(r deny.Refusal) Answer {
	return Refused{Refusal: r}
}
