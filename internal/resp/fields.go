package resp

import "bytes"

// Field is one "name=value" of a list. Both are slices of the list.
type Field struct{ Name, Value []byte }

// Fields iterates over a list "name=value,name=value" without storing it. An empty list and "-" have no fields.
type Fields struct {
	rest []byte
	done bool
	bad  bool
}

// NewFields returns an iterator over a list.
func NewFields(list []byte) *Fields {
	return &Fields{rest: list, done: len(list) == 0 || string(list) == "-"}
}

// Next returns the next field. ok is false after the last one, and from a malformed field on.
func (f *Fields) Next() (field Field, ok bool) {
	if f.done {
		return Field{}, false
	}
	text, rest, more := bytes.Cut(f.rest, []byte(","))
	f.rest, f.done = rest, !more
	name, value, found := bytes.Cut(text, []byte("="))
	if !found || len(name) == 0 {
		f.done, f.bad = true, true
		return Field{}, false
	}
	return Field{name, value}, true
}

// Malformed reports whether a field has no name or no "=".
func (f *Fields) Malformed() bool { return f.bad }

// ParseFields parses "name=value,name=value". An empty list and "-" have no fields. ok is false if a field has no name or no "=".
func ParseFields(list []byte) (fields map[string]string, ok bool) {
	fields = map[string]string{}
	iterator := NewFields(list)
	for field, ok := iterator.Next(); ok; field, ok = iterator.Next() {
		fields[string(field.Name)] = string(field.Value)
	}
	if iterator.Malformed() {
		return nil, false
	}
	return fields, true
}
