// Package strictjson reads JSON with comments (JWCC: https://nigeltao.github.io/blog/2021/json-with-commas-comments.html)
// into Go values and says, for whatever can't be used, the file, line and column. It owns the places of values and
// the form of defects; what a value means is for its callers to check. It reads no file: bytes come in.
//
// A field that the target lacks, a name that is given twice and a number that does not fit are defects, never
// guesses. Decoding goes on behind a defect, so that one run shows all of them.
package strictjson

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Defect is one reason why a file can't be used, and where.
type Defect struct {
	File      string
	Line, Col int // from 1; 0: the file as a whole
	Reason    string
}

// Error is the defect as one line: file:line:col: reason.
func (d Defect) Error() string {
	if d.Line == 0 {
		return d.File + ": " + d.Reason
	}
	return fmt.Sprintf("%s:%d:%d: %s", d.File, d.Line, d.Col, d.Reason)
}

// Defects are all that is wrong, in the order of files and places. As an error they read as their lines.
type Defects []Defect

// Error implements error.
func (d Defects) Error() string {
	lines := make([]string, len(d))
	for i, x := range d {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Err is nil if there is no defect.
func (d Defects) Err() error {
	if len(d) == 0 {
		return nil
	}
	return d
}

// Sort puts defects in the order of files and places.
func (d Defects) Sort() {
	slices.SortStableFunc(d, func(a, b Defect) int {
		return cmp.Or(cmp.Compare(a.File, b.File), a.Line-b.Line, a.Col-b.Col)
	})
}

// Bounds of a text: deeper or larger ones are no configuration, and would only cost memory.
const (
	MaxBytes  = 32 << 20
	mostDepth = 32
	// mostMembers of an object: names are compared in pairs.
	mostMembers = 1000
	// mostDefects of one file are told; a broken generator makes thousands alike.
	mostDefects = 100
)

// Document is one text that was read, with the places of its values.
type Document struct {
	File    string
	Defects Defects

	starts []int        // offsets of the starts of lines
	root   hujson.Value // places are looked up in it when they are asked for: few ever are
	fields map[reflect.Type]map[string]int
	more   int // defects beyond mostDefects
}

// Decode reads text into target, a pointer to a struct with json tags. A nil Doc is never returned: its Defects
// say what can't be used, and Fail adds what the caller finds.
func Decode(file string, text []byte, target any) *Document {
	d := &Document{File: file, starts: []int{0}, fields: map[reflect.Type]map[string]int{}}
	for i, b := range text {
		if b == '\n' {
			d.starts = append(d.starts, i+1)
		}
	}
	switch {
	case len(text) > MaxBytes:
		d.fail(-1, fmt.Sprintf("larger than %d bytes", MaxBytes))
		return d
	case len(strings.TrimSpace(string(text))) == 0:
		d.fail(-1, "empty")
		return d
	}
	if at, deep := tooDeep(text); deep {
		d.fail(at, fmt.Sprintf("nested deeper than %d levels", mostDepth))
		return d
	}
	v, err := hujson.Parse(text)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.root = v
	d.value(&d.root, reflect.ValueOf(target).Elem())
	return d
}

// tooDeep guards the parser, which calls itself for each level: a text of nothing but brackets would take the
// stack with it.
func tooDeep(text []byte) (at int, deep bool) {
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
			if depth++; depth > mostDepth {
				return i, true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}

var syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

func (d *Document) syntax(err error) {
	m := syntaxPlace.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if m == nil {
		d.fail(-1, err.Error())
		return
	}
	line, _ := strconv.Atoi(m[1])
	col, _ := strconv.Atoi(m[2])
	reason := m[3]
	if line >= len(d.starts) && strings.Contains(reason, "EOF") {
		reason = "ends too early: " + reason
	}
	d.Defects = append(d.Defects, Defect{File: d.File, Line: line, Col: col, Reason: reason})
}

// Has tells whether the text gives a value at this path.
func (d *Document) Has(path string) bool { _, ok := d.find(path); return ok }

// find is the offset of the value at a path, as in servers[3].addr.
func (d *Document) find(path string) (at int, ok bool) {
	v, rest := &d.root, path
	for rest != "" {
		switch x := v.Value.(type) {
		case *hujson.Object:
			rest = strings.TrimPrefix(rest, ".")
			i := slices.IndexFunc(x.Members, func(m hujson.ObjectMember) bool {
				// A name may hold dots itself.
				after, ok := strings.CutPrefix(rest, text(m.Name.Value.(hujson.Literal)))
				return ok && (after == "" || after[0] == '.' || after[0] == '[')
			})
			if i < 0 {
				return 0, false
			}
			rest = rest[len(text(x.Members[i].Name.Value.(hujson.Literal))):]
			v = &x.Members[i].Value
		case *hujson.Array:
			number, after, _ := strings.Cut(strings.TrimPrefix(rest, "["), "]")
			i, err := strconv.Atoi(number)
			if err != nil || i < 0 || i >= len(x.Elements) {
				return 0, false
			}
			v, rest = &x.Elements[i], after
		default:
			return 0, false
		}
	}
	return v.StartOffset, v.Value != nil
}

// Failf adds a defect at the place of a path, or of the nearest value around it that the text holds.
func (d *Document) Failf(path, format string, args ...any) {
	for p := path; ; {
		if at, ok := d.find(p); ok {
			d.fail(at, fmt.Sprintf(format, args...))
			return
		}
		if p == "" {
			break
		}
		p = p[:max(0, strings.LastIndexAny(p, ".["))]
	}
	d.fail(-1, fmt.Sprintf(format, args...))
}

// Position is where the value of a path begins, as line:column; "" if the text holds none.
func (d *Document) Position(path string) string {
	at, ok := d.find(path)
	if !ok {
		return ""
	}
	line, col := d.place(at)
	return fmt.Sprintf("%d:%d", line, col)
}

// Valid tells whether no defect was found so far.
func (d *Document) Valid() bool { return len(d.Defects) == 0 }

func (d *Document) place(at int) (line, col int) {
	i, found := slices.BinarySearch(d.starts, at)
	if !found {
		i--
	}
	return i + 1, at - d.starts[i] + 1
}

func (d *Document) fail(at int, reason string) {
	if len(d.Defects) >= mostDefects {
		d.more++
		d.Defects[mostDefects-1] = Defect{File: d.File, Reason: fmt.Sprintf("%d more defects", d.more+1)}
		return
	}
	x := Defect{File: d.File, Reason: reason}
	if at >= 0 {
		x.Line, x.Col = d.place(at)
	}
	d.Defects = append(d.Defects, x)
}

// value puts one parsed value into the target.
func (d *Document) value(v *hujson.Value, into reflect.Value) {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		if into.Kind() != reflect.Pointer && into.Kind() != reflect.Map && into.Kind() != reflect.Slice {
			d.fail(v.StartOffset, "null is no value here")
		}
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		if into.IsNil() {
			into.Set(reflect.New(into.Type().Elem()))
		}
		d.value(v, into.Elem())
	case reflect.Struct:
		if o, ok := v.Value.(*hujson.Object); ok {
			d.object(o, into)
		} else {
			d.wrong(v, "an object")
		}
	case reflect.Map:
		o, ok := v.Value.(*hujson.Object)
		if !ok || len(o.Members) > mostMembers {
			d.wrong(v, fmt.Sprintf("an object of at most %d fields", mostMembers))
			return
		}
		into.Set(reflect.MakeMap(into.Type()))
		d.members(o, func(name string, m *hujson.ObjectMember) {
			item := reflect.New(into.Type().Elem()).Elem()
			d.value(&m.Value, item)
			into.SetMapIndex(reflect.ValueOf(name), item)
		})
	case reflect.Slice:
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			d.wrong(v, "a list")
			return
		}
		list := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
		for i := range a.Elements {
			d.value(&a.Elements[i], list.Index(i))
		}
		into.Set(list)
	default:
		d.scalar(v, into)
	}
}

// text is what a quoted literal says. Most hold no escape, and reading one takes half the time of a large list.
func text(lit hujson.Literal) string {
	if bytes.IndexByte(lit, '\\') >= 0 || !utf8.Valid(lit) {
		return lit.String()
	}
	return string(lit[1 : len(lit)-1])
}

// members calls f for an object's members, each name once.
func (d *Document) members(o *hujson.Object, f func(name string, m *hujson.ObjectMember)) {
	for i := range o.Members {
		m := &o.Members[i]
		lit := m.Name.Value.(hujson.Literal)
		twice := false
		for j := range i { // objects are small, and a map for each would cost more
			twice = twice || string(lit) == string(o.Members[j].Name.Value.(hujson.Literal))
		}
		if name := text(lit); bytes.IndexByte(lit, '\\') >= 0 {
			d.fail(m.Name.StartOffset, "a name is written without escapes")
		} else if twice {
			d.fail(m.Name.StartOffset, fmt.Sprintf("%q is given twice", name))
		} else {
			f(name, m)
		}
	}
}

func (d *Document) object(o *hujson.Object, into reflect.Value) {
	fields := d.fieldsOf(into.Type())
	if len(o.Members) > mostMembers {
		d.fail(o.Members[0].Name.StartOffset, fmt.Sprintf("more than %d fields", mostMembers))
		return
	}
	d.members(o, func(name string, m *hujson.ObjectMember) {
		i, ok := fields[name]
		if !ok {
			d.fail(m.Name.StartOffset, fmt.Sprintf("unknown field %q%s", name, suggest(name, fields)))
			return
		}
		d.value(&m.Value, into.Field(i))
	})
}

// fieldsOf maps the names in json tags to field numbers.
func (d *Document) fieldsOf(t reflect.Type) map[string]int {
	if fields := d.fields[t]; fields != nil {
		return fields
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	d.fields[t] = fields
	return fields
}

// suggest names a field that is one edit or a change of case away.
func suggest(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	slices.Sort(names)
	for _, f := range names {
		if strings.EqualFold(strings.ReplaceAll(f, "_", ""), strings.ReplaceAll(name, "_", "")) || oneEdit(name, f) {
			return fmt.Sprintf("; did you mean %q?", f)
		}
	}
	return ""
}

// oneEdit tells whether one letter put in, left out or changed makes b of a.
func oneEdit(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(b)-len(a) > 1 || len(b) < 3 {
		return false
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	if len(a) == len(b) {
		return i < len(a) && a[i+1:] == b[i+1:]
	}
	return a[i:] == b[i+1:]
}

func (d *Document) scalar(v *hujson.Value, into reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.wrong(v, wants(into.Kind()))
		return
	}
	switch into.Kind() {
	case reflect.String:
		if lit.Kind() != '"' {
			d.wrong(v, "a text")
			return
		}
		into.SetString(text(lit))
	case reflect.Bool:
		if lit.Kind() != 't' && lit.Kind() != 'f' {
			d.wrong(v, "true or false")
			return
		}
		into.SetBool(lit.Bool())
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if lit.Kind() != '0' || err != nil || into.OverflowInt(n) {
			d.wrong(v, "a whole number")
			return
		}
		into.SetInt(n)
	case reflect.Uint64:
		n, err := strconv.ParseUint(string(lit), 10, 64)
		if lit.Kind() != '0' || err != nil {
			d.wrong(v, "a whole number of 0 or more")
			return
		}
		into.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(string(lit), 64)
		// Guards against 1e999, which some readers take for infinity.
		if lit.Kind() != '0' || err != nil || math.IsInf(n, 0) {
			d.wrong(v, "a finite number")
			return
		}
		into.SetFloat(n)
	default:
		d.fail(v.StartOffset, "can't be given here")
	}
}

func wants(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	}
	return "a number"
}

// wrong says what was wanted in place of what stands there.
func (d *Document) wrong(v *hujson.Value, want string) {
	is := "an object"
	switch x := v.Value.(type) {
	case *hujson.Array:
		is = "a list"
	case hujson.Literal:
		if is = string(x); len(is) > 40 {
			is = is[:40] + "..."
		}
	}
	d.fail(v.StartOffset, "wants "+want+", not "+is)
}
