// Package capacity computes what control traffic costs in a fleet that is too large to run here: from recordings of costs at
// several sizes, a least-squares fit of each recording, and formulas for each role. The result is the page docs/CAPACITY.md. Every
// figure says whether it was measured, extrapolated (and how far beyond the measurements) or assumed.
//
// The formulas and the page are pure functions. Only the recorders in record_*.go run code of other packages, in this process and
// without sockets. The tests in this package compare fits with generated data, formulas with values computed by hand, and the page
// with the recordings in docs/measurements/capacity.
package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Role is the kind of process that bears a cost.
type Role string

// The roles.
const (
	Proxy       Role = "steering proxy"
	Voter       Role = "voting store member"
	Distributor Role = "distributor"
	Membership  Role = "membership and view"
	Prober      Role = "prober"
	ListSource  Role = "list source"
	Tools       Role = "operators' tools"
)

// Roles are all roles, in the order of the page.
var Roles = []Role{Proxy, Voter, Distributor, Membership, Prober, ListSource, Tools}

// Point is the value that was measured at one size of the driver.
type Point struct {
	Driver   float64 `json:"driver"` // the size
	Measured float64 `json:"measured"`
}

// Recording is one quantity, measured at several sizes of its driver, with the fit of the points.
type Recording struct {
	Name     string  `json:"name"` // unique among all files; formulas refer to a recording by name
	Role     Role    `json:"role"`
	Driver   string  `json:"driver"`   // what is counted as the size, e.g. "purges"
	Quantity string  `json:"quantity"` // what was measured, e.g. "snapshot"
	Unit     string  `json:"unit"`     // of the measured values, e.g. "bytes"
	Command  string  `json:"command"`  // that makes this recording again
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`
	Fit
}

const (
	// minPoints is the minimum number of points in a recording. Fewer do not show how the quantity grows.
	minPoints = 4
	// minSpan is the minimum ratio of the largest size to the smallest. A smaller ratio needs a note that explains it.
	minSpan = 10.0
)

// Span is the ratio of the largest size to the smallest.
func (r Recording) Span() float64 {
	smallest, largest := r.bounds()
	return largest / smallest
}

func (r Recording) bounds() (smallest, largest float64) {
	smallest, largest = math.Inf(1), math.Inf(-1)
	for _, p := range r.Points {
		smallest, largest = min(smallest, p.Driver), max(largest, p.Driver)
	}
	return smallest, largest
}

// RecordingError says what is wrong with a recording.
type RecordingError struct {
	Name   string // of the recording
	Reason string
}

// Error implements error.
func (e *RecordingError) Error() string { return fmt.Sprintf("recording %q: %s", e.Name, e.Reason) }

func (r Recording) errorf(format string, args ...any) error {
	return &RecordingError{Name: r.Name, Reason: fmt.Sprintf(format, args...)}
}

// Valid returns a *RecordingError if a recording is incomplete, or has too few points or too small a span for a fit.
func (r Recording) Valid() error {
	switch {
	case r.Name == "" || r.Driver == "" || r.Quantity == "" || r.Unit == "" || r.Command == "":
		return r.errorf("name, driver, quantity, unit and command must all be set")
	case !slices.Contains(Roles, r.Role):
		return r.errorf("unknown role %q", r.Role)
	case len(r.Points) < minPoints:
		return r.errorf("%d points, at least %d are required", len(r.Points), minPoints)
	case slices.ContainsFunc(r.Points, Point.invalid):
		return r.errorf("every point needs a size that is positive and finite, and a measured value that is finite")
	}
	if !slices.IsSortedFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) }) {
		return r.errorf("points are not sorted by size")
	}
	if r.Span() < minSpan && r.Note == "" {
		return r.errorf("the largest size is only %.3g times the smallest, and no note explains it", r.Span())
	}
	return nil
}

// invalid reports whether the size is not positive and finite, or the measured value is not finite.
func (p Point) invalid() bool {
	return !(p.Driver > 0) || math.IsInf(p.Driver, 0) || math.IsNaN(p.Measured) || math.IsInf(p.Measured, 0)
}

// Fitted returns a copy of the recording with the fit of its points.
func (r Recording) Fitted() Recording {
	r.Fit = FitPoints(r.Points)
	return r
}
