package hollow

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Recordings are what runs at several sizes measured, in the form of docs/measurements/capacity: points, without fits.
type Recordings struct {
	About      string      `json:"about"`
	Machine    string      `json:"machine"`
	Recordings []Recording `json:"recordings"`
}

// Recording is one quantity by the number of processes.
type Recording struct {
	Name      string    `json:"name"`
	Role      string    `json:"role"`
	Driver    string    `json:"driver"`
	Quantity  string    `json:"quantity"`
	Unit      string    `json:"unit"`
	Command   string    `json:"command"`
	Note      string    `json:"note,omitempty"`
	Points    []Point   `json:"points"`
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     string    `json:"model"`
	Residuals []float64 `json:"residuals"`
}

// Point is a size and what was measured at it.
type Point struct {
	Driver   float64 `json:"driver"`
	Measured float64 `json:"measured"`
}

// leastPoints that a recording is fitted from: fewer say nothing about growth.
const minPoints = 4

// recorded are the quantities: of which way, and how each is read off a run.
var recordedQuantities = []struct {
	Recording
	way string
	of  func(r *Result) float64
}{
	{Recording{Name: "scale/leader-bytes-per-entry", Role: "voting store member", Quantity: "sent by the leader that feeds every process", Unit: "bytes"}, "direct",
		func(r *Result) float64 {
			return r.summaryRow().StoreKB * 1000 * r.Scenario.Seconds / float64(r.Propagation[purgeStream].Count+r.Propagation[changeStream].Count)
		}},
	{Recording{Name: "scale/store-member-bytes-per-s", Role: "voting store member", Quantity: "sent by the busiest member of the store, with levels", Unit: "bytes/s"}, "levels",
		func(r *Result) float64 { return r.summaryRow().StoreKB * 1000 }},
	{Recording{Name: "scale/proxy-memory", Role: "steering proxy", Quantity: "heap of what receives and puts in force", Unit: "bytes"}, "levels",
		func(r *Result) float64 { return r.summaryRow().ProxyHeapMB * 1e6 }},
	{Recording{Name: "scale/proxy-bytes-per-s", Role: "steering proxy", Quantity: "in and out, mean", Unit: "bytes/s"}, "levels",
		func(r *Result) float64 { return r.summaryRow().ProxyKB * 1000 }},
	{Recording{Name: "scale/purge-everywhere-ms", Role: "distributor", Quantity: "purge in force at the last process, p99 with faults", Unit: "ms"}, "levels",
		func(r *Result) float64 { return r.Propagation[purgeStream].P99 }},
}

// WriteRecordings writes what runs measured, of those quantities that have enough sizes.
func WriteRecordings(w io.Writer, machine string, runs []*Result) error {
	out := Recordings{About: "hollow processes of all roles in virtual time, with faults", Machine: machine, Recordings: []Recording{}}
	for _, x := range recordedQuantities {
		rec := x.Recording
		rec.Driver = "processes"
		for _, r := range runs {
			if r.Mode == x.way {
				rec.Command = "ravenlab scale lab/scale/" + r.Name + ".jsonc"
				rec.Points = append(rec.Points, Point{float64(r.Processes), x.of(r)})
			}
		}
		slices.SortFunc(rec.Points, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) })
		if len(rec.Points) >= minPoints {
			out.Recordings = append(out.Recordings, rec)
		}
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", " ")
	return e.Encode(out)
}
