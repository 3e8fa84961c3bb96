// Package resp reads and writes the RESP frames that clients and cache servers exchange, which are arrays of bulk strings, and the
// lists of fields in them. It rejects a frame that is too large before its bytes have arrived. It does not interpret commands.
// golden_test.go checks the encoding; package front/resp tests this package with arbitrary input.
package resp

import (
	"errors"
	"strconv"

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

// AppendFrame appends a frame of the given parts to b. There must be at least one part.
func AppendFrame(b []byte, parts ...string) []byte {
	last := len(parts) - 1
	return AppendFrameWithBody(b, []byte(parts[last]), parts[:last]...)
}

// BodyEnd is what follows a body that is appended after AppendBodyHead.
const BodyEnd = "\r\n"

// AppendBodyHead appends a frame of the given parts and, as its last part, a body, up to that body. BodyEnd must follow the body.
func AppendBodyHead(b []byte, bodyLength int, parts ...string) []byte {
	b = redcon.AppendArray(b, len(parts)+1)
	for _, part := range parts {
		b = redcon.AppendBulkString(b, part)
	}
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(bodyLength), 10)
	return append(b, "\r\n"...)
}

// AppendFrameWithBody appends a frame of the given parts and, as its last part, the body to b.
func AppendFrameWithBody(b, body []byte, parts ...string) []byte {
	b = AppendBodyHead(b, len(body), parts...)
	b = append(b, body...)
	return append(b, BodyEnd...)
}
