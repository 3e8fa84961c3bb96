// Package capacity works out what the fleet costs at a size that cannot be run here: from recordings of costs at several sizes, a
// least-squares fit of each, and formulas for each role. The result is the page docs/CAPACITY.md. Every figure says whether it
// was measured, extrapolated (and how far beyond the measurements) or assumed.
//
// Formulas and page are pure. Only the recorders in record_*.go run code, in this process and without sockets. The tests in this
// package compare fits with generated data, formulas with sums worked out by hand, and the page with the recordings in
// docs/measurements/capacity.
package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Role is who bears a cost.
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

// Roles are all of them, in the order of the page.
var Roles = []Role{Proxy, Voter, Distributor, Membership, Prober, ListSource, Tools}

// Point is what was measured at one size.
type Point struct {
	Driver   float64 `json:"driver"`
	Measured float64 `json:"measured"`
}

// Recording is one quantity, measured at several sizes of its driver, with the fit of the points.
type Recording struct {
	Name     string  `json:"name"` // unique over all files; formulas refer to it
	Role     Role    `json:"role"`
	Driver   string  `json:"driver"`   // what sizes count, e.g. "purges"
	Quantity string  `json:"quantity"` // what was measured, e.g. "snapshot"
	Unit     string  `json:"unit"`     // of the measured values, e.g. "bytes"
	Command  string  `json:"command"`  // that records it again
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`
	Fit
}

const (
	// minPoints is the least number of sizes in a recording. Fewer say nothing about growth.
	minPoints = 4
	// minSpan is the least factor between the largest and the smallest size. A note may explain a smaller one.
	minSpan = 10.0
)

// Span is the largest size by the smallest.
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

// Valid returns a *RecordingError if a recording is not complete, or says too little to be fitted.
func (r Recording) Valid() error {
	switch {
	case r.Name == "" || r.Driver == "" || r.Quantity == "" || r.Unit == "" || r.Command == "":
		return r.errorf("name, driver, quantity, unit and command are all needed")
	case !slices.Contains(Roles, r.Role):
		return r.errorf("no role %q", r.Role)
	case len(r.Points) < minPoints:
		return r.errorf("%d points, %d are needed", len(r.Points), minPoints)
	case slices.ContainsFunc(r.Points, Point.invalid):
		return r.errorf("a point that is no number, or of no size")
	}
	if !slices.IsSortedFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) }) {
		return r.errorf("its points are not in order")
	}
	if r.Span() < minSpan && r.Note == "" {
		return r.errorf("sizes within a factor of %.3g, and no note that says why", r.Span())
	}
	return nil
}

// invalid reports whether a point is no pair of a size above 0 and a finite number.
func (p Point) invalid() bool {
	return !(p.Driver > 0) || math.IsInf(p.Driver, 0) || math.IsNaN(p.Measured) || math.IsInf(p.Measured, 0)
}

// Fitted is the recording with the fit of its points.
func (r Recording) Fitted() Recording {
	r.Fit = FitPoints(r.Points)
	return r
}
