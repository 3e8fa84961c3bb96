package capacity

import "bytes"

// Page is docs/CAPACITY.md, made of the recordings in a directory.
func Page(dir string) ([]byte, error) {
	_, err := ReadBook(dir)
	return nil, err
}

// Differs tells the first line in which two pages differ.
func Differs(have, want []byte) (line int, differs bool) {
	if bytes.Equal(have, want) {
		return 0, false
	}
	a, b := bytes.Split(have, []byte("\n")), bytes.Split(want, []byte("\n"))
	for line = range min(len(a), len(b)) {
		if !bytes.Equal(a[line], b[line]) {
			return line + 1, true
		}
	}
	return min(len(a), len(b)) + 1, true
}
