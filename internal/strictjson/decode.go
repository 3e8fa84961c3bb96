package strictjson

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// decode stores a parsed value in the target and reports what does not fit.
func (d *Document) decode(v *hujson.Value, target reflect.Value) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		if !nullable(target.Kind()) {
			d.report(v.StartOffset, "null is not allowed here")
		}
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.decode(v, target.Elem())
	case reflect.Struct:
		d.decodeStruct(v, target)
	case reflect.Map:
		d.decodeMap(v, target)
	case reflect.Slice:
		d.decodeSlice(v, target)
	default:
		d.decodeScalar(v, target)
	}
}

// nullable reports whether null is allowed for a kind of target. Null leaves such a target unchanged.
func nullable(kind reflect.Kind) bool {
	return kind == reflect.Pointer || kind == reflect.Map || kind == reflect.Slice
}

func (d *Document) decodeStruct(v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reportType(v, "an object")
		return
	}
	if len(object.Members) > maxMembers {
		d.report(object.Members[0].Name.StartOffset, fmt.Sprintf("more than %d fields", maxMembers))
		return
	}
	fields := d.fieldsOf(target.Type())
	d.eachMember(object, func(name string, m *hujson.ObjectMember) {
		i, ok := fields[name]
		if !ok {
			d.report(m.Name.StartOffset, fmt.Sprintf("unknown field %q%s", name, suggestion(name, fields)))
			return
		}
		d.decode(&m.Value, target.Field(i))
	})
}

func (d *Document) decodeMap(v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok || len(object.Members) > maxMembers {
		d.reportType(v, fmt.Sprintf("an object of at most %d fields", maxMembers))
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	d.eachMember(object, func(name string, m *hujson.ObjectMember) {
		item := reflect.New(target.Type().Elem()).Elem()
		d.decode(&m.Value, item)
		target.SetMapIndex(reflect.ValueOf(name), item)
	})
}

func (d *Document) decodeSlice(v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportType(v, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], list.Index(i))
	}
	target.Set(list)
}

// eachMember calls f for the members of an object. It reports repeated names and names with escapes instead.
func (d *Document) eachMember(o *hujson.Object, f func(name string, m *hujson.ObjectMember)) {
	for i := range o.Members {
		m := &o.Members[i]
		literal := m.Name.Value.(hujson.Literal)
		name := stringOf(literal)
		switch {
		case bytes.IndexByte(literal, '\\') >= 0:
			d.report(m.Name.StartOffset, "a field name must not contain escapes")
		case repeated(o, i):
			d.report(m.Name.StartOffset, fmt.Sprintf("%q is given twice", name))
		default:
			f(name, m)
		}
	}
}

// repeated reports whether an earlier member of the object has the same name. Objects are small, so that comparing all pairs is
// cheaper than a map for each object.
func repeated(o *hujson.Object, index int) bool {
	name := string(o.Members[index].Name.Value.(hujson.Literal))
	for i := range index {
		if string(o.Members[i].Name.Value.(hujson.Literal)) == name {
			return true
		}
	}
	return false
}

// stringOf returns the string of a quoted literal. Most literals have no escape and are not unquoted: unquoting all of them would
// take half the time of decoding a large list.
func stringOf(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') >= 0 || !utf8.Valid(literal) {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

// fieldsOf returns the field indexes of a struct type by the names in its json tags.
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

// suggestion proposes a field whose name differs by one edit, or by case and underscores.
func suggestion(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for field := range fields {
		names = append(names, field)
	}
	slices.Sort(names)
	for _, field := range names {
		if strings.EqualFold(strings.ReplaceAll(field, "_", ""), strings.ReplaceAll(name, "_", "")) || oneEdit(name, field) {
			return fmt.Sprintf("; did you mean %q?", field)
		}
	}
	return ""
}

// oneEdit reports whether inserting, deleting or changing one byte turns a into b. It is false if both are shorter than 3 bytes.
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

// decodeScalar decodes a string, a boolean or a number.
func (d *Document) decodeScalar(v *hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.reportType(v, scalarName(target.Kind()))
		return
	}
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			d.reportType(v, "a string")
			return
		}
		target.SetString(stringOf(literal))
	case reflect.Bool:
		if literal.Kind() != 't' && literal.Kind() != 'f' {
			d.reportType(v, "true or false")
			return
		}
		target.SetBool(literal.Bool())
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		d.decodeNumber(v, literal, target)
	default:
		d.report(v.StartOffset, "has a type that is not supported here")
	}
}

func (d *Document) decodeNumber(v *hujson.Value, literal hujson.Literal, target reflect.Value) {
	isNumber := literal.Kind() == '0'
	switch target.Kind() {
	case reflect.Uint64:
		n, err := strconv.ParseUint(string(literal), 10, 64)
		if !isNumber || err != nil {
			d.reportType(v, "a whole number of 0 or more")
			return
		}
		target.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(string(literal), 64)
		if !isNumber || err != nil || math.IsInf(n, 0) { // other parsers accept 1e999 as infinity
			d.reportType(v, "a finite number")
			return
		}
		target.SetFloat(n)
	default:
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if !isNumber || err != nil || target.OverflowInt(n) {
			d.reportType(v, "a whole number")
			return
		}
		target.SetInt(n)
	}
}

func scalarName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a number"
}

// maxQuoted is the maximum number of bytes of a literal that a defect quotes.
const maxQuoted = 40

// reportType reports a value whose type is not the wanted one.
func (d *Document) reportType(v *hujson.Value, wanted string) {
	found := "an object"
	switch value := v.Value.(type) {
	case *hujson.Array:
		found = "a list"
	case hujson.Literal:
		found = string(value)
		if len(found) > maxQuoted {
			found = found[:maxQuoted] + "..."
		}
	}
	d.report(v.StartOffset, "must be "+wanted+", not "+found)
}
