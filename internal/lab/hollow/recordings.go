package hollow

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Recordings is a file of docs/measurements/capacity with what runs at several sizes measured. Its fits are left to
// internal/lab/capacity.
type Recordings struct {
	About      string      `json:"about"`
	Machine    string      `json:"machine"`
	Recordings []Recording `json:"recordings"`
}

// Recording is one quantity by the number of processes.
type Recording struct {
	Name     string  `json:"name"`
	Role     string  `json:"role"`
	Driver   string  `json:"driver"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Command  string  `json:"command"`
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`

	// The fit, which is empty here.
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     string    `json:"model"`
	Residuals []float64 `json:"residuals"`
}

// Point is a number of processes and what was measured with it.
type Point struct {
	Driver   float64 `json:"driver"`
	Measured float64 `json:"measured"`
}

// minPoints is the least number of sizes in a recording. Fewer say nothing about growth.
const minPoints = 4

// Roles as internal/lab/capacity names them.
const (
	voterRole       = "voting store member"
	proxyRole       = "steering proxy"
	distributorRole = "distributor"
)

// recordedQuantity is a quantity that is read from the runs of one mode.
type recordedQuantity struct {
	Recording
	mode  Mode
	value func(r *Result) float64
}

var recordedQuantities = []recordedQuantity{
	{
		Recording: Recording{
			Name: "scale/leader-bytes-per-entry", Role: voterRole,
			Quantity: "sent by the leader that feeds every process", Unit: "bytes",
		},
		mode: ModeDirect,
		value: func(r *Result) float64 {
			entries := r.Propagation[purgeStream].Count + r.Propagation[changeStream].Count
			return r.summaryRow().StoreKB * 1000 * r.Scenario.Seconds / float64(entries)
		},
	},
	{
		Recording: Recording{
			Name: "scale/store-member-bytes-per-s", Role: voterRole,
			Quantity: "sent by the busiest member of the store, with levels", Unit: "bytes/s",
		},
		mode:  ModeLevels,
		value: func(r *Result) float64 { return r.summaryRow().StoreKB * 1000 },
	},
	{
		Recording: Recording{Name: "scale/proxy-memory", Role: proxyRole, Quantity: "heap of what receives and puts in force", Unit: "bytes"},
		mode:      ModeLevels,
		value:     func(r *Result) float64 { return r.summaryRow().ProxyHeapMB * 1e6 },
	},
	{
		Recording: Recording{Name: "scale/proxy-bytes-per-s", Role: proxyRole, Quantity: "in and out, mean", Unit: "bytes/s"},
		mode:      ModeLevels,
		value:     func(r *Result) float64 { return r.summaryRow().ProxyKB * 1000 },
	},
	{
		Recording: Recording{
			Name: "scale/purge-everywhere-ms", Role: distributorRole,
			Quantity: "purge in force at the last process, p99 with faults", Unit: "ms",
		},
		mode:  ModeLevels,
		value: func(r *Result) float64 { return r.Propagation[purgeStream].P99 },
	},
}

// record reads a quantity from the runs of its mode, by size.
func (q recordedQuantity) record(runs []*Result) Recording {
	recording := q.Recording
	recording.Driver = "processes"
	for _, r := range runs {
		if r.Mode == q.mode {
			recording.Command = "ravenlab scale lab/scale/" + r.Name + ".jsonc"
			recording.Points = append(recording.Points, Point{float64(r.Processes), q.value(r)})
		}
	}
	slices.SortFunc(recording.Points, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) })
	return recording
}

// WriteRecordings writes a Recordings file of those quantities that were measured at enough sizes.
func WriteRecordings(w io.Writer, machine string, runs []*Result) error {
	out := Recordings{About: "hollow processes of all roles in virtual time, with faults", Machine: machine, Recordings: []Recording{}}
	for _, quantity := range recordedQuantities {
		if recording := quantity.record(runs); len(recording.Points) >= minPoints {
			out.Recordings = append(out.Recordings, recording)
		}
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", " ")
	return e.Encode(out)
}
