package cursor

// Cursor is a position in a token stream, with what another instance needs to resume the stream from there. It is
// immutable.
type Cursor struct {
	RequestID string `cbor:"1,keyasint"` // RequestID is the id of the request.
	Model     string `cbor:"2,keyasint"`
	Adapter   string `cbor:"3,keyasint,omitempty"`
	Version   string `cbor:"4,keyasint"`
	Target    string `cbor:"5,keyasint"`            // Target is the name of the engine that runs the attempt.
	Attempt   int    `cbor:"6,keyasint"`            // Attempt numbers the attempts of the request, from 1.
	Offset    int    `cbor:"7,keyasint"`            // Offset is the number of tokens delivered.
	Hash      uint64 `cbor:"8,keyasint"`            // Hash is the running hash of the tokens delivered.
	Origin    string `cbor:"9,keyasint"`            // Origin is the instance that accepted the request.
	Backup    string `cbor:"10,keyasint,omitempty"` // Backup is the peer that holds a copy of the generation.
	Seed      uint64 `cbor:"11,keyasint"`
	MaxTokens int    `cbor:"12,keyasint"` // MaxTokens is the request's limit of tokens.
	RunID     string `cbor:"13,keyasint"` // RunID is the run that started the attempt; resuming begins a new run.
}

// WithProgress returns the cursor with a new position: after offset tokens of an attempt of run runID at target.
func (c Cursor) WithProgress(target, runID string, attempt, offset int, hash uint64) Cursor {
	c.Target = target
	c.RunID = runID
	c.Attempt = attempt
	c.Offset = offset
	c.Hash = hash
	return c
}
