// Package bounds checks values of the scenario files of the lab. It reports defects to the document that they were read from, and
// decides no bound itself; the packages that own the files do. Their tests check the messages.
package bounds

import (
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Checker reports values of a document that cannot be used.
type Checker struct{ *strictjson.Document }

// Within reports a defect unless the value at a path lies within bounds. NaN lies within none.
func (c Checker) Within(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.Failf(path, "%s %.10g is not %.10g to %.10g", lastKey(path), value, least, most)
	}
}

// CountWithin is Within for a number of things.
func (c Checker) CountWithin(path string, value, least, most int) {
	c.Within(path, float64(value), float64(least), float64(most))
}

// OneOf reports a defect unless the value at a path is one of those allowed. The message leaves out an empty one, which stands
// for a key that is left out.
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
	c.Failf(path, "%s %q is none of %s", lastKey(path), value, strings.Join(names, ", "))
}

// lastKey returns the last key of a path.
func lastKey(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }
