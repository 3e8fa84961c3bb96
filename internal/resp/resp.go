// Package resp reads and checks the RESP arrays of bulk strings that both sides of the platform speak,
// and the name=value lists inside them.
package resp

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/tidwall/redcon"
)

// The bounds of a frame: in bytes by who sends it, as a client's write brings 48,000 at most and an object
// holds 240,000; its parts; and the line that tells a length.
const (
	MaxRequestSize  = 56 << 10
	MaxResponseSize = 256 << 10
	maxParts        = 8
	maxLengthLine   = 16
)

// ErrMalformed says that the bytes can't be read as a frame, now or later.
var ErrMalformed = errors.New("malformed frame")

// number reads the line "<mark>digits\r\n" at the start of b; n is 0 while the line is not whole.
func parseNumber(b []byte, mark byte) (value, n int, err error) {
	if len(b) > 0 && b[0] != mark {
		return 0, 0, ErrMalformed
	}
	end := bytes.IndexByte(b[:min(len(b), maxLengthLine)], '\n')
	if end < 0 {
		if len(b) >= maxLengthLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, nil
	}
	if end < 3 || end > 9 || b[end-1] != '\r' {
		return 0, 0, ErrMalformed
	}
	for _, c := range b[1 : end-1] {
		if c < '0' || c > '9' {
			return 0, 0, ErrMalformed
		}
		value = value*10 + int(c-'0')
	}
	return value, end + 1, nil
}

// Split cuts the first frame, of most bytes at the most, off b. Its parts point into b; n is 0 while the
// frame is not whole. One that claims more fails as soon as its length is read, before its bytes have come.
func ParseFrame(b []byte, most int) (parts [][]byte, n int, err error) {
	count, n, err := parseNumber(b, '*')
	if err != nil || n == 0 {
		return nil, 0, err
	}
	if count < 1 || count > maxParts {
		return nil, 0, ErrMalformed
	}
	parts = make([][]byte, 0, count)
	for range count {
		size, head, err := parseNumber(b[n:], '$')
		if err != nil || head == 0 {
			return nil, 0, err
		}
		if n += head; n+size+2 > most {
			return nil, 0, ErrMalformed
		}
		if len(b) < n+size+2 {
			return nil, 0, nil
		}
		if b[n+size] != '\r' || b[n+size+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		parts = append(parts, b[n:n+size])
		n += size + 2
	}
	return parts, n, nil
}

// Buffer is the one read buffer of a connection, grown and compacted in place.
type Buffer struct {
	MaxFrameSize int // bytes of a frame
	MaxRetained  int // grown beyond this it is given back once it is empty; 0: never
	buf          []byte
	start, end   int
}

// Held is how many bytes have come that are no whole frame yet.
func (b *Buffer) Buffered() int { return b.end - b.start }

// Next returns the next frame, reading from src as needed. Its parts, and raw, hold until the next call.
func (b *Buffer) Next(src io.Reader) (parts [][]byte, raw []byte, err error) {
	for {
		parts, n, err := ParseFrame(b.buf[b.start:b.end], b.MaxFrameSize)
		if err != nil {
			return nil, nil, err
		}
		if n > 0 {
			raw = b.buf[b.start : b.start+n]
			b.start += n
			return parts, raw, nil
		}
		if b.start > 0 {
			b.end = copy(b.buf, b.buf[b.start:b.end])
			b.start = 0
		}
		if b.MaxRetained > 0 && b.end == 0 && len(b.buf) > b.MaxRetained {
			b.buf = nil
		}
		if b.end == len(b.buf) {
			b.buf = append(b.buf, make([]byte, max(4096, len(b.buf)))...)
		}
		got, err := src.Read(b.buf[b.end:])
		b.end += got
		if got == 0 && err != nil {
			return nil, nil, err
		}
	}
}

// Append adds one frame of the given parts to b.
func AppendFrame(b []byte, parts ...string) []byte {
	last := len(parts) - 1
	return AppendFrameWithBody(b, []byte(parts[last]), parts[:last]...)
}

// AppendBody adds one frame of the given parts and a body to b.
func AppendFrameWithBody(b, body []byte, parts ...string) []byte {
	b = redcon.AppendArray(b, len(parts)+1)
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return redcon.AppendBulk(b, body)
}

// Fields reads "name=value,name=value"; "-" and nothing are no fields. ok is false if a field has no name.
func ParseFields(list []byte) (fields map[string]string, ok bool) {
	fields = map[string]string{}
	if len(list) == 0 || string(list) == "-" {
		return fields, true
	}
	for _, f := range strings.Split(string(list), ",") {
		name, value, found := strings.Cut(f, "=")
		if !found || name == "" {
			return nil, false
		}
		fields[name] = value
	}
	return fields, true
}
