package hollow

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Recordings is the content of a file in docs/measurements/capacity, with the results of runs at several sizes. The fits are
// computed by internal/lab/capacity.
type Recordings struct {
	About      string      `json:"about"`
	Machine    string      `json:"machine"`
	Recordings []Recording `json:"recordings"`
}

// Recording is one quantity, measured at several numbers of processes.
type Recording struct {
	Name     string  `json:"name"`
	Role     string  `json:"role"`
	Driver   string  `json:"driver"`
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Command  string  `json:"command"`
	Note     string  `json:"note,omitempty"`
	Points   []Point `json:"points"`

	// The fit, which this package leaves empty.
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     string    `json:"model"`
	Residuals []float64 `json:"residuals"`
}

// Point is a number of processes (Driver) and the value that was measured with it.
type Point struct {
	Driver   float64 `json:"driver"`
	Measured float64 `json:"measured"`
}

// minPoints is the least number of sizes in a recording, as growth cannot be fitted to fewer.
const minPoints = 4

// Names of roles in internal/lab/capacity.
const (
	voterRole       = "voting store member"
	proxyRole       = "steering proxy"
	distributorRole = "distributor"
)

// recordedQuantity is a quantity that is taken from the results of one mode.
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

// record takes the quantity from the results of its mode, ordered by size.
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

// WriteRecordings writes a Recordings file. It leaves out quantities that were measured at fewer than minPoints sizes.
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
