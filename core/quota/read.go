package quota

import "io"

// firstBufferSize is the size of the first buffer of ReadAll, in bytes; it doubles whenever it is full.
const firstBufferSize = 4 << 10

// ReadAll reads to the end of r and takes the memory for it from an account, as the bytes arrive. An announced size is
// used only up to what has been received, since the sender may never send it; -1 is an unknown size.
func ReadAll(r io.Reader, size int64, a *Account) ([]byte, error) {
	first := int64(firstBufferSize)
	if size >= 0 && size < first {
		first = size + 1 // One byte more lets the read that finds the end fit.
	}
	if err := a.Take(first); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, first)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		grown := int64(2 * cap(buffer))
		if size >= int64(len(buffer)) && size < grown {
			grown = size + 1
		}
		if err := a.Take(grown - int64(cap(buffer))); err != nil {
			return nil, err
		}
		buffer = append(make([]byte, 0, grown), buffer...)
	}
}
