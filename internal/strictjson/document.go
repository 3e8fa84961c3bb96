// Package strictjson decodes JSON with comments (JWCC: https://nigeltao.github.io/blog/2021/json-with-commas-comments.html) into Go
// values, and reports everything that is invalid with file, line and column. It owns the form of defects and the positions of
// values. It does not know what a value means: callers check that, and report defects at the position of the value. It reads no
// file.
//
// A field that the target lacks, a name that is given twice and a number that does not fit are defects; the decoder never guesses
// what was meant. It goes on after a defect, so that one run reports all of them. The rules are tested here, by cases and a fuzzer.
package strictjson

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// The limits of a text. No valid configuration exceeds them.
const (
	// MaxBytes is the maximum size of a text.
	MaxBytes = 32 << 20
	// maxDepth is the maximum nesting depth of objects and lists.
	maxDepth = 32
	// maxMembers is the maximum number of fields of an object. It bounds the time of finding repeated names, which compares all
	// pairs.
	maxMembers = 1000
	// maxDefects is the maximum number of defects that are reported for one file. If there are more, the last one gives the number
	// of the others.
	maxDefects = 100
)

// Document is one decoded text, with the positions of its values and its defects.
type Document struct {
	File    string
	Defects Defects

	lineOffsets []int        // offset of the first byte of each line
	root        hujson.Value // searched again for each position: few positions are needed
	fields      map[reflect.Type]map[string]int
	unreported  int // number of defects beyond maxDefects
}

// Decode decodes a text into target, a pointer to a struct with json tags. file is the name of the text in defects. The Document is
// never nil. Its Defects are what is invalid, and Failf adds defects that the caller finds.
func Decode(file string, text []byte, target any) *Document {
	d := &Document{File: file, lineOffsets: lineStarts(text), fields: map[reflect.Type]map[string]int{}}
	switch {
	case len(text) > MaxBytes:
		d.report(noOffset, fmt.Sprintf("larger than %d bytes", MaxBytes))
		return d
	case len(strings.TrimSpace(string(text))) == 0:
		d.report(noOffset, "empty")
		return d
	}
	if offset, deep := tooDeep(text); deep {
		d.report(offset, fmt.Sprintf("nested deeper than %d levels", maxDepth))
		return d
	}
	root, err := hujson.Parse(text)
	if err != nil {
		d.reportSyntax(err)
		return d
	}
	d.root = root
	d.decode(&d.root, reflect.ValueOf(target).Elem())
	return d
}

// Valid reports whether the text has no defect so far.
func (d *Document) Valid() bool { return len(d.Defects) == 0 }

// Has reports whether the text has a value at a path, such as servers[3].addr.
func (d *Document) Has(path string) bool {
	_, ok := d.find(path)
	return ok
}

// Position returns where the value at a path begins, as line:column; empty: the text has no such value.
func (d *Document) Position(path string) string {
	offset, ok := d.find(path)
	if !ok {
		return ""
	}
	line, col := d.position(offset)
	return fmt.Sprintf("%d:%d", line, col)
}

// Failf adds a defect at the value of a path. If the text has no such value, the defect is at the innermost enclosing value.
func (d *Document) Failf(path, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	for {
		if offset, ok := d.find(path); ok {
			d.report(offset, reason)
			return
		}
		if path == "" {
			d.report(noOffset, reason)
			return
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// find returns the offset of the value at a path, and whether the text has that value.
func (d *Document) find(path string) (offset int, ok bool) {
	value, rest := &d.root, path
	for rest != "" {
		switch container := value.Value.(type) {
		case *hujson.Object:
			value, rest = member(container, strings.TrimPrefix(rest, "."))
		case *hujson.Array:
			value, rest = element(container, rest)
		default:
			return 0, false
		}
		if value == nil {
			return 0, false
		}
	}
	return value.StartOffset, value.Value != nil
}

// member returns the value of the member with which a path begins, and the rest of the path; nil: the object has no such member.
// The name of a member may contain dots.
func member(o *hujson.Object, path string) (value *hujson.Value, rest string) {
	for i := range o.Members {
		name := stringOf(o.Members[i].Name.Value.(hujson.Literal))
		rest, ok := strings.CutPrefix(path, name)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return &o.Members[i].Value, rest
		}
	}
	return nil, ""
}

// element returns the element that the index at the start of a path, such as [3], selects, and the rest of the path; nil: the list
// has no such element.
func element(a *hujson.Array, path string) (value *hujson.Value, rest string) {
	number, rest, _ := strings.Cut(strings.TrimPrefix(path, "["), "]")
	i, err := strconv.Atoi(number)
	if err != nil || i < 0 || i >= len(a.Elements) {
		return nil, ""
	}
	return &a.Elements[i], rest
}

// noOffset is the offset of a defect that has no position in the text.
const noOffset = -1

// report adds a defect at an offset, up to maxDefects of them.
func (d *Document) report(offset int, reason string) {
	if len(d.Defects) >= maxDefects {
		d.unreported++
		d.Defects[maxDefects-1] = Defect{File: d.File, Reason: fmt.Sprintf("%d more defects", d.unreported+1)}
		return
	}
	defect := Defect{File: d.File, Reason: reason}
	if offset != noOffset {
		defect.Line, defect.Col = d.position(offset)
	}
	d.Defects = append(d.Defects, defect)
}

// parserPosition matches the text of the parser's errors.
var parserPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// reportSyntax adds a defect for an error of the parser.
func (d *Document) reportSyntax(err error) {
	found := parserPosition.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if found == nil {
		d.report(noOffset, err.Error())
		return
	}
	line, _ := strconv.Atoi(found[1])
	col, _ := strconv.Atoi(found[2])
	reason := found[3]
	if line >= len(d.lineOffsets) && strings.Contains(reason, "EOF") {
		reason = "ends too early: " + reason
	}
	d.Defects = append(d.Defects, Defect{File: d.File, Line: line, Col: col, Reason: reason})
}

// position returns the line and column of an offset, both from 1.
func (d *Document) position(offset int) (line, col int) {
	i, found := slices.BinarySearch(d.lineOffsets, offset)
	if !found {
		i--
	}
	return i + 1, offset - d.lineOffsets[i] + 1
}

func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// tooDeep returns the offset of the first nesting beyond maxDepth, if there is one. The parser calls itself for each level, so that
// a text of nothing but brackets would exhaust the stack.
func tooDeep(text []byte) (offset int, deep bool) {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '/' && i+1 < len(text) && text[i+1] == '/':
			for i < len(text) && text[i] != '\n' {
				i++
			}
		case c == '/' && i+1 < len(text) && text[i+1] == '*':
			end := strings.Index(string(text[i+2:]), "*/")
			if end < 0 {
				return 0, false
			}
			i += end + 3
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}
