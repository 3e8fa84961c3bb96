package resp

// maxKeptBytes is how much of each kept part a Skipper keeps: more than the longest command and the longest tag.
const maxKeptBytes = 32

// keptParts is the number of parts of which a Skipper keeps the beginning: the command and the tag.
const keptParts = 2

// Skipper reads a frame without storing it, apart from the beginnings of its first two parts. The zero value, with MaxFrameSize set,
// is at the start of a frame.
type Skipper struct {
	MaxFrameSize int

	line      [maxLengthLine]byte // the line of a length that is being read
	lineSize  int
	started   bool // the number of parts is known
	partsLeft int
	remaining int // bytes of the current part that have not arrived, with the line end
	size      int // bytes of the frame so far
	kept      [keptParts][maxKeptBytes]byte
	keptSize  [keptParts]int
	part      int // index of the current part
}

// Skip reads the next bytes of the frame, and returns how many of b belong to it. done is true once the frame is complete. The
// error is ErrMalformed.
func (s *Skipper) Skip(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if s.remaining == 0 {
			if err := s.addToLine(b[n]); err != nil {
				return n, false, err
			}
			n++
			continue
		}
		chunk := b[n:min(len(b), n+s.remaining)]
		if err := s.skipPart(chunk); err != nil {
			return n, false, err
		}
		n += len(chunk)
		if s.IsDone() {
			return n, true, nil
		}
	}
	return n, false, nil
}

// IsDone reports whether the frame is complete.
func (s *Skipper) IsDone() bool { return s.started && s.partsLeft == 0 }

// Parts returns the beginnings of the first two parts, or fewer if the frame has fewer.
func (s *Skipper) Parts() (parts [][]byte) {
	for i := range min(keptParts, s.part) {
		parts = append(parts, s.kept[i][:s.keptSize[i]])
	}
	return parts
}

// addToLine adds a byte to the line of a length, and uses the line once it is complete.
func (s *Skipper) addToLine(c byte) error {
	if s.lineSize == len(s.line) {
		return ErrMalformed
	}
	s.line[s.lineSize] = c
	s.lineSize++
	s.size++
	mark := byte('$')
	if !s.started {
		mark = '*'
	}
	value, n, err := parseNumber(s.line[:s.lineSize], mark)
	if err != nil || n == 0 {
		return err
	}
	s.lineSize = 0
	if !s.started {
		s.started, s.partsLeft = true, value
		if value < 1 || value > maxParts {
			return ErrMalformed
		}
		return nil
	}
	const lineEnd = 2
	s.remaining = value + lineEnd
	if s.size+s.remaining > s.MaxFrameSize {
		return ErrMalformed
	}
	return nil
}

// skipPart reads bytes of the current part and of its line end.
func (s *Skipper) skipPart(chunk []byte) error {
	const lineEnd = "\r\n"
	content := chunk[:min(len(chunk), max(0, s.remaining-len(lineEnd)))]
	if s.part < keptParts {
		s.keptSize[s.part] += copy(s.kept[s.part][s.keptSize[s.part]:], content)
	}
	for i, c := range chunk[len(content):] {
		left := s.remaining - len(content) - i
		if c != lineEnd[len(lineEnd)-left] {
			return ErrMalformed
		}
	}
	s.remaining -= len(chunk)
	s.size += len(chunk)
	if s.remaining == 0 {
		s.partsLeft--
		s.part++
	}
	return nil
}
