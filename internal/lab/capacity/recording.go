// Package capacity works out what the fleet costs at a size that nobody here can run: recordings of measured slopes, a
// least-squares fit of each, formulas a role, and the page docs/CAPACITY.md made of them. Every figure it gives says
// whether it was measured, extrapolated (and how far beyond the measurements) or assumed. Formulas and the page are pure;
// only the recorders in record*.go run anything, in process and without sockets. Tested here: fits against drawn data,
// formulas against sums by hand, and the page against the recordings in docs/measurements/capacity.
package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
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

// Roles are all of them, in the page's order.
var Roles = []Role{Proxy, Voter, Distributor, Membership, Prober, ListSource, Tools}

// Point is one measurement: what was driven, and what came of it.
type Point struct {
	Driver   float64 `json:"driver"`
	Measured float64 `json:"measured"`
}

// Recording is one quantity measured at several sizes of one driver, with its fit.
type Recording struct {
	Name     string  `json:"name"` // unique over all files, e.g. "replica/bytes-per-purge"; formulas refer to it
	Role     Role    `json:"role"`
	Driver   string  `json:"driver"`   // what the points' driver counts, e.g. "purges"
	Quantity string  `json:"quantity"` // what was measured, e.g. "snapshot"
	Unit     string  `json:"unit"`     // of measured: bytes, us, us/change, bytes/s, ...
	Command  string  `json:"command"`  // that makes it again
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`
	Fit
}

// File is what one recorder writes: docs/measurements/capacity/NAME.json.
type File struct {
	About      string      `json:"about"` // one sentence: what was run
	Machine    string      `json:"machine"`
	Recordings []Recording `json:"recordings"`
}

// leastPoints and leastSpan bound what a recording may be fitted from: fewer sizes, or sizes closer together, say nothing
// about growth. Recordings of things that exist only in small numbers say so with a note and may span less.
const (
	minPoints = 4
	minSpan   = 10.0
)

// Span is the largest driver of a recording by its smallest.
func (r Recording) Span() float64 {
	least, most := r.bounds()
	return most / least
}

func (r Recording) bounds() (least, most float64) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, p := range r.Points {
		least, most = min(least, p.Driver), max(most, p.Driver)
	}
	return least, most
}

// Valid tells what is wrong with a recording.
func (r Recording) Valid() error {
	switch {
	case r.Name == "" || r.Driver == "" || r.Quantity == "" || r.Unit == "" || r.Command == "":
		return fmt.Errorf("recording %q: name, driver, quantity, unit and command are all needed", r.Name)
	case !slices.Contains(Roles, r.Role):
		return fmt.Errorf("recording %q: no role %q", r.Name, r.Role)
	case len(r.Points) < minPoints:
		return fmt.Errorf("recording %q: %d points, %d are needed", r.Name, len(r.Points), minPoints)
	}
	for _, p := range r.Points {
		if !(p.Driver > 0) || math.IsInf(p.Driver, 0) || math.IsNaN(p.Measured) || math.IsInf(p.Measured, 0) {
			return fmt.Errorf("recording %q: a point that is no number, or of no size", r.Name)
		}
	}
	if !slices.IsSortedFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) }) {
		return fmt.Errorf("recording %q: its points are not in order", r.Name)
	}
	if r.Span() < minSpan && r.Note == "" {
		return fmt.Errorf("recording %q: sizes within a factor of %.3g, and no note that says why", r.Name, r.Span())
	}
	return nil
}

// Fitted is the recording with the fit of its points.
func (r Recording) Fitted() Recording {
	r.Fit = FitPoints(r.Points)
	return r
}

// Save fits every recording of a file and writes it.
func Save(path string, f File) error {
	f.Recordings = slices.Clone(f.Recordings)
	for i, r := range f.Recordings {
		if err := r.Valid(); err != nil {
			return err
		}
		f.Recordings[i] = r.Fitted()
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(f); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// ReadFile reads one file as it stands, its fits unchecked.
func ReadFile(path string) (f File, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Book is all recordings, by name.
type RecordingSet map[string]Recording

// ReadBook reads a directory of recordings. It refuses one whose fit is not that of its points.
func ReadRecordings(dir string) (RecordingSet, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	book := RecordingSet{}
	var wrong []error
	for _, path := range paths {
		f, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, r := range f.Recordings {
			wrong = append(wrong, book.add(path, r))
		}
	}
	return book, errors.Join(wrong...)
}

func (b RecordingSet) add(path string, r Recording) error {
	if err := r.Valid(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, twice := b[r.Name]; twice {
		return fmt.Errorf("%s: recording %q is told twice", path, r.Name)
	}
	if !r.equal(FitPoints(r.Points)) {
		return fmt.Errorf("%s: recording %q: its fit is not that of its points: run 'ravenlab capacity fit %s'", path, r.Name, path)
	}
	b[r.Name] = r
	return nil
}
