package chain

import (
	"time"

	"bramleywharf.example/core/deny"
)

// Answer is the sealed set of answers: Streamed, Whole, Addresses, Passed, Finished, Severed, Refused and Left.
type Answer interface {
	isAnswer()
}

// Streamed says that all tokens went to the sink.
type Streamed struct {
	Reason string // Reason is the engine's reason for the end.
	Tokens int
}

// Whole is the answer of a plain service.
type Whole struct {
	Status      int
	ContentType string
	Body        []byte
}

// Addresses lists the instances that a caller should use, best first.
type Addresses struct {
	Organisation string // Organisation is the caller's.
	List         []Address
	Life         time.Duration // Life is how long the caller may keep the list.
}

// Address is one instance.
type Address struct {
	Instance string
	Domain   string
	Address  string
}

// Refused carries a refusal.
type Refused struct {
	Refusal deny.Refusal
}

// Left says that the caller went away or took the stream to another instance.
type Left struct{}

func (Streamed) isAnswer()  {}
func (Whole) isAnswer()     {}
func (Addresses) isAnswer() {}
func (Refused) isAnswer()   {}
func (Left) isAnswer()      {}

// Refuse returns the answer that carries a refusal.
func Refuse(r deny.Refusal) Answer {
	return Refused{Refusal: r}
}
