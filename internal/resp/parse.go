package resp

import "bytes"

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

// span is the position of a part in a frame.
type span struct{ start, end int }

// frameLayout is what the beginning of a frame tells of its parts.
type frameLayout struct {
	parts   [maxParts]span
	count   int // of parts
	length  int // of the frame, if it is complete
	missing int // how many bytes must follow at least; 0: the frame is complete
}

// layOut parses as much of the first frame of b as has arrived. A frame that announces more than maxSize bytes is malformed as soon
// as the announced length is read.
func layOut(b []byte, maxSize int) (layout frameLayout, err error) {
	count, n, err := parseNumber(b, '*')
	if err != nil {
		return layout, err
	}
	if n == 0 {
		return frameLayout{missing: 1}, nil
	}
	if count < 1 || count > maxParts {
		return layout, ErrMalformed
	}
	for layout.count < count {
		size, headerLength, err := parseNumber(b[n:], '$')
		if err != nil {
			return layout, err
		}
		if headerLength == 0 {
			layout.missing = 1
			return layout, nil
		}
		if n += headerLength; n+size+2 > maxSize {
			return layout, ErrMalformed
		}
		if missing := n + size + 2 - len(b); missing > 0 {
			layout.missing = missing
			return layout, nil
		}
		if b[n+size] != '\r' || b[n+size+1] != '\n' {
			return layout, ErrMalformed
		}
		layout.parts[layout.count] = span{n, n + size}
		layout.count++
		n += size + 2
	}
	layout.length = n
	return layout, nil
}

// slices returns the parts as slices of the frame.
func (l *frameLayout) slices(frame []byte) [][]byte {
	parts := make([][]byte, l.count)
	for i := range parts {
		parts[i] = frame[l.parts[i].start:l.parts[i].end]
	}
	return parts
}

// ParseFrame parses the first frame of b, which may have at most maxSize bytes. The parts are slices of b. n is the length of the
// frame, or 0 if the frame is incomplete. A frame that announces more than maxSize bytes is malformed as soon as the announced
// length is read.
func ParseFrame(b []byte, maxSize int) (parts [][]byte, n int, err error) {
	layout, err := layOut(b, maxSize)
	if err != nil || layout.missing > 0 {
		return nil, 0, err
	}
	return layout.slices(b), layout.length, nil
}
