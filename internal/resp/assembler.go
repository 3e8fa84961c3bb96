package resp

// minPartialSize is the least capacity, in bytes, of the buffer for a partial frame whose length is not known.
const minPartialSize = 256

// Frame is one frame of a connection.
type Frame struct {
	// Parts are valid until the next call of Assembler.Next. Of a skipped frame they are the beginnings of the first two.
	Parts   [][]byte
	Skipped bool // there was no room for the frame
	// Owned reports that the parts are slices of a buffer of their own, which Assembler.Detach passes on.
	Owned bool
}

// Assembler splits the input of a connection into frames. It stores only what has arrived of an incomplete frame. The chunks that
// are passed to it belong to the caller.
type Assembler struct {
	MaxFrameSize int // in bytes
	// Reserve reports whether the assembler may store so many more bytes. If it may not, the frame is skipped. nil: it always may.
	Reserve func(bytes int) bool
	// Release ends the reservation of bytes; nil: nothing is released.
	Release func(bytes int)
	// Buffers are used for partial frames, and get them back; nil: each frame has a new buffer.
	Buffers *Buffers

	partial  []byte
	reserved int  // capacity of partial that is reserved
	returned bool // partial is a complete frame that the last call returned
	skipper  *Skipper
}

// HasPartial reports whether a part of a frame has arrived.
func (a *Assembler) HasPartial() bool { return !a.returned && (len(a.partial) > 0 || a.skipper != nil) }

// Next returns the next frame. rest is what follows it in the chunk. ok is false if there is no complete frame; the chunk is used
// up then. The error is ErrMalformed.
func (a *Assembler) Next(chunk []byte) (frame Frame, rest []byte, ok bool, err error) {
	a.dropReturned()
	for len(chunk) > 0 {
		if a.skipper != nil {
			n, done, err := a.skipper.Skip(chunk)
			chunk = chunk[n:]
			if err != nil || !done {
				return Frame{}, chunk, false, err
			}
			return a.skippedFrame(), chunk, true, nil
		}
		if len(a.partial) == 0 {
			layout, err := layOut(chunk, a.MaxFrameSize)
			if err != nil {
				return Frame{}, chunk, false, err
			}
			if layout.missing == 0 {
				return Frame{Parts: layout.slices(chunk)}, chunk[layout.length:], true, nil
			}
			if err := a.store(chunk, layout.missing); err != nil {
				return Frame{}, nil, false, err
			}
			return Frame{}, nil, false, nil
		}
		if frame, chunk, ok, err = a.continuePartial(chunk); ok || err != nil {
			return frame, chunk, ok, err
		}
	}
	return Frame{}, nil, false, nil
}

// continuePartial adds the bytes that the partial frame needs next, and returns the frame once it is complete.
func (a *Assembler) continuePartial(chunk []byte) (frame Frame, rest []byte, ok bool, err error) {
	layout, err := layOut(a.partial, a.MaxFrameSize)
	if err != nil {
		return Frame{}, chunk, false, err
	}
	n := min(len(chunk), layout.missing)
	if err = a.store(chunk[:n], layout.missing-n); err != nil {
		return Frame{}, chunk, false, err
	}
	chunk = chunk[n:]
	if a.skipper != nil {
		if a.skipper.IsDone() {
			return a.skippedFrame(), chunk, true, nil
		}
		return Frame{}, chunk, false, nil
	}
	if layout, err = layOut(a.partial, a.MaxFrameSize); err != nil || layout.missing > 0 {
		return Frame{}, chunk, false, err
	}
	a.returned = true
	return Frame{Parts: layout.slices(a.partial), Owned: true}, chunk, true, nil
}

// skippedFrame returns the frame that was skipped.
func (a *Assembler) skippedFrame() Frame {
	parts := a.skipper.Parts()
	a.skipper = nil
	return Frame{Parts: parts, Skipped: true}
}

// store adds bytes to the partial frame. missing is how many bytes must follow them at least. If there is no room, the frame is
// skipped instead.
func (a *Assembler) store(b []byte, missing int) error {
	if need := len(a.partial) + len(b); need > cap(a.partial) {
		size := a.Buffers.roundUp(max(need+missing, 2*cap(a.partial), minPartialSize))
		if a.Reserve != nil && !a.Reserve(size-a.reserved) {
			return a.skip(b)
		}
		grown := append(a.Buffers.get(size), a.partial...)
		a.Buffers.put(a.partial)
		a.partial, a.reserved = grown, size
	}
	a.partial = append(a.partial, b...)
	return nil
}

// skip drops the partial frame, and skips its rest. b are the bytes that follow those that were stored.
func (a *Assembler) skip(b []byte) error {
	skipper := &Skipper{MaxFrameSize: a.MaxFrameSize}
	for _, bytes := range [][]byte{a.partial, b} {
		if _, _, err := skipper.Skip(bytes); err != nil {
			return err
		}
	}
	a.drop()
	a.skipper = skipper
	return nil
}

// Skip drops what has arrived of an incomplete frame, and skips its rest.
func (a *Assembler) Skip() error {
	a.dropReturned()
	if len(a.partial) == 0 {
		return nil
	}
	return a.skip(nil)
}

// Detach passes the buffer of the owned frame that the last call of Next returned on to the caller, who releases its reservation.
func (a *Assembler) Detach() (reserved int) {
	reserved = a.reserved
	a.partial, a.reserved, a.returned = nil, 0, false
	return reserved
}

// Drop drops everything that is stored.
func (a *Assembler) Drop() {
	a.drop()
	a.skipper = nil
}

func (a *Assembler) dropReturned() {
	if a.returned {
		a.drop()
	}
}

func (a *Assembler) drop() {
	if a.Release != nil && a.reserved > 0 {
		a.Release(a.reserved)
	}
	a.Buffers.put(a.partial)
	a.partial, a.reserved, a.returned = nil, 0, false
}
