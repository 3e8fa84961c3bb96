package resp

import "io"

// Buffer is the read buffer of a connection. It grows as needed, and its unparsed bytes are moved to its start to make room.
type Buffer struct {
	MaxFrameSize int // in bytes
	buf          []byte
	start, end   int // buf[start:end] is not parsed yet
}

// Buffered returns the number of bytes that have been read but not returned as part of a frame.
func (b *Buffer) Buffered() int { return b.end - b.start }

// Next returns the parts of the next frame and the whole frame. Both are valid until the next call. It reads from src as needed.
// The error is that of src, or ErrMalformed.
func (b *Buffer) Next(src io.Reader) (parts [][]byte, frame []byte, err error) {
	for {
		parts, n, err := ParseFrame(b.buf[b.start:b.end], b.MaxFrameSize)
		if err != nil {
			return nil, nil, err
		}
		if n > 0 {
			frame = b.buf[b.start : b.start+n]
			b.start += n
			return parts, frame, nil
		}
		b.makeRoom()
		read, err := src.Read(b.buf[b.end:])
		b.end += read
		if read == 0 && err != nil {
			return nil, nil, err
		}
	}
}

// makeRoom makes room for at least one more byte.
func (b *Buffer) makeRoom() {
	if b.start > 0 {
		b.end = copy(b.buf, b.buf[b.start:b.end])
		b.start = 0
	}
	if b.end == len(b.buf) {
		b.buf = append(b.buf, make([]byte, max(minBufferSize, len(b.buf)))...)
	}
}
