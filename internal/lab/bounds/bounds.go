// Package bounds checks values of the lab's scenario files. It reports defects to the document that the values were read from. It
// never decides a bound: the packages that own the files do, and their tests check the messages.
package bounds

import (
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Checker reports values of a document that are not allowed.
type Checker struct{ *strictjson.Document }

// Within reports a defect unless the value at a path is from least to most. NaN is always a defect.
func (c Checker) Within(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.Failf(path, "%s %.10g is not from %.10g to %.10g", lastKey(path), value, least, most)
	}
}

// CountWithin is Within for an int.
func (c Checker) CountWithin(path string, value, least, most int) {
	c.Within(path, float64(value), float64(least), float64(most))
}

// OneOf reports a defect unless the value at a path is one of the allowed ones. The message does not list an allowed empty value,
// because that is the value of a key that is left out.
func OneOf[T ~string](c Checker, path string, value T, allowed []T) {
	if slices.Contains(allowed, value) {
		return
	}
	var names []string
	for _, name := range allowed {
		if name != "" {
			names = append(names, string(name))
		}
	}
	c.Failf(path, "%s %q is not one of %s", lastKey(path), value, strings.Join(names, ", "))
}

// lastKey returns the last key of a path.
func lastKey(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }
