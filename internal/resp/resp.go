// Package resp reads and writes the RESP frames that clients and cache servers exchange, which are arrays of bulk strings, and the
// lists of fields in them. It rejects a frame that is too large before its bytes have arrived. It does not interpret commands.
// golden_test.go checks the encoding; package front/resp tests this package with arbitrary input.
package resp

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/tidwall/redcon"
)

const (
	// MaxRequestSize bounds a frame of a client, in bytes. The body of a write has up to 48,000 bytes.
	MaxRequestSize = 56 << 10
	// MaxResponseSize bounds a frame of a cache server, in bytes. An object has up to 240,000 bytes.
	MaxResponseSize = 256 << 10

	maxParts      = 8    // parts of a frame
	maxDigits     = 7    // digits of a number
	maxLengthLine = 16   // bytes of a line with a number
	minBufferSize = 4096 // initial size of a buffer in bytes
)

// ErrMalformed means that the bytes read are not the beginning of a valid frame.
var ErrMalformed = errors.New("malformed frame")

// parseNumber parses the line "<mark>digits\r\n" at the start of b. n is the length of the line, or 0 if the line is incomplete.
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

// ParseFrame parses the first frame of b, which may have at most maxSize bytes. The parts are slices of b. n is the length of the
// frame, or 0 if the frame is incomplete. A frame that announces more than maxSize bytes is malformed as soon as the announced
// length is read.
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

// Buffer is the read buffer of a connection. It grows as needed, and its unparsed bytes are moved to its start to make room.
type Buffer struct {
	MaxFrameSize int // in bytes
	MaxRetained  int // size in bytes above which an empty buffer is released; 0: never released
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
	if b.MaxRetained > 0 && b.end == 0 && len(b.buf) > b.MaxRetained {
		b.buf = nil
	}
	if b.end == len(b.buf) {
		b.buf = append(b.buf, make([]byte, max(minBufferSize, len(b.buf)))...)
	}
}

// AppendFrame appends a frame of the given parts to b. There must be at least one part.
func AppendFrame(b []byte, parts ...string) []byte {
	last := len(parts) - 1
	return AppendFrameWithBody(b, []byte(parts[last]), parts[:last]...)
}

// AppendFrameWithBody appends a frame of the given parts and, as its last part, the body to b.
func AppendFrameWithBody(b, body []byte, parts ...string) []byte {
	b = redcon.AppendArray(b, len(parts)+1)
	for _, part := range parts {
		b = redcon.AppendBulkString(b, part)
	}
	return redcon.AppendBulk(b, body)
}

// ParseFields parses "name=value,name=value". An empty list and "-" have no fields. ok is false if a field has no name or no "=".
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
