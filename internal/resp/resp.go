// Package resp reads and writes the frames of RESP that clients and cache servers use, arrays of bulk strings, and the
// lists of fields in them. It bounds a frame before its bytes have arrived, and knows no commands. golden_test.go holds the
// encoded forms; package front/resp tests it with arbitrary input.
package resp

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/tidwall/redcon"
)

const (
	// MaxRequestSize bounds a frame of a client, in bytes. A write brings up to 48,000.
	MaxRequestSize = 56 << 10
	// MaxResponseSize bounds a frame of a cache server, in bytes. An object has up to 240,000.
	MaxResponseSize = 256 << 10

	maxParts      = 8    // of a frame
	maxDigits     = 7    // of a number
	maxLengthLine = 16   // bytes of a line with a number
	minBufferSize = 4096 // bytes by which an empty buffer grows
)

// ErrMalformed reports bytes that are not the beginning of a valid frame.
var ErrMalformed = errors.New("malformed frame")

// parseNumber parses the line "<mark>digits\r\n" at the start of b. n is its length, 0 while the line is incomplete.
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
	digits := end - 2 // without the mark and the carriage return
	if digits < 1 || digits > maxDigits || b[end-1] != '\r' {
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

// ParseFrame parses the first frame of b, of at most maxSize bytes. Its parts point into b. n is its length, 0 while it is
// incomplete. A frame that announces too much is malformed as soon as its length is read.
func ParseFrame(b []byte, maxSize int) (parts [][]byte, n int, err error) {
	count, n, err := parseNumber(b, '*')
	if err != nil || n == 0 {
		return nil, 0, err
	}
	if count < 1 || count > maxParts {
		return nil, 0, ErrMalformed
	}
	parts = make([][]byte, 0, count)
	for range count {
		size, headerLength, err := parseNumber(b[n:], '$')
		if err != nil || headerLength == 0 {
			return nil, 0, err
		}
		if n += headerLength; n+size+2 > maxSize {
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

// Buffer is the read buffer of a connection. It grows as needed and is compacted in place.
type Buffer struct {
	MaxFrameSize int // in bytes
	MaxRetained  int // size in bytes above which an empty buffer is released; 0: never
	buf          []byte
	start, end   int // of the bytes that are not parsed
}

// Buffered returns the number of bytes that are not a complete frame yet.
func (b *Buffer) Buffered() int { return b.end - b.start }

// Next returns the parts of the next frame, and the whole frame, which are valid until the next call. It reads from src as
// needed and returns its error, or ErrMalformed.
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
	if b.MaxRetained > 0 && b.end == 0 && len(b.buf) > b.MaxRetained {
		b.buf = nil
	}
	if b.end == len(b.buf) {
		b.buf = append(b.buf, make([]byte, max(minBufferSize, len(b.buf)))...)
	}
}

// AppendFrame appends a frame of the given parts, at least one, to b.
func AppendFrame(b []byte, parts ...string) []byte {
	last := len(parts) - 1
	return AppendFrameWithBody(b, []byte(parts[last]), parts[:last]...)
}

// AppendFrameWithBody appends a frame of the given parts and a body to b.
func AppendFrameWithBody(b, body []byte, parts ...string) []byte {
	b = redcon.AppendArray(b, len(parts)+1)
	for _, part := range parts {
		b = redcon.AppendBulkString(b, part)
	}
	return redcon.AppendBulk(b, body)
}

// ParseFields parses "name=value,name=value". An empty list and "-" have no fields. ok is false for a field without a name.
func ParseFields(list []byte) (fields map[string]string, ok bool) {
	fields = map[string]string{}
	if len(list) == 0 || string(list) == "-" {
		return fields, true
	}
	for _, field := range strings.Split(string(list), ",") {
		name, value, found := strings.Cut(field, "=")
		if !found || name == "" {
			return nil, false
		}
		fields[name] = value
	}
	return fields, true
}
