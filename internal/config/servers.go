package config

import (
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/strictjson"
)

// Servers configures the server list that is read from disk and watched for changes.
type Servers struct {
	Path               string  `json:"path"`         // a file or a directory, relative to the directory of the operator's file
	QuietMs            float64 `json:"quiet_ms"`     // how long files must stay unchanged before they are read
	MaxWaitMs          float64 `json:"most_wait_ms"` // after so long, files are read even if they still change
	PollMs             float64 `json:"poll_ms"`
	DrainMs            float64 `json:"drain_ms"`     // how long a server drains after it left the list
	RememberMs         float64 `json:"remember_ms"`  // how long a server is remembered after its drain
	MaxDroppedFraction float64 `json:"most_dropped"` // of the ready servers, that one list may remove
	WeightStep         float64 `json:"weight_step"`  // largest factor by which a weight changes in one step
	WeightIntervalMs   float64 `json:"weight_every_ms"`
	ResolveTimeoutMs   float64 `json:"resolve_ms"`
	ResolveTTLMs       float64 `json:"ttl_ms"`
}

// Debounce returns the settings that decide when changed files are read.
func (s *Servers) Debounce() debounce.Settings {
	return debounce.Settings{QuietPeriod: s.QuietMs, MaxDelay: s.MaxWaitMs, PollInterval: s.PollMs}
}

const (
	// minLongestDeadlineMs is the longest deadline that the platform has. The default drain is not based on a shorter one.
	minLongestDeadlineMs = 3000
	// drainMarginMs is added to the longest deadline to get the default drain time.
	drainMarginMs = 1000
)

func (f *OperatorFile) checkServers(doc *strictjson.Document) {
	s := f.Servers
	if s == nil {
		return
	}
	c := checker{doc, "servers"}
	c.required("path", s.Path)
	c.number("quiet_ms", &s.QuietMs, valueRange{200, 10, 60_000})
	c.number("most_wait_ms", &s.MaxWaitMs, valueRange{5000, s.QuietMs, 600_000})
	c.number("poll_ms", &s.PollMs, valueRange{5000, 100, dayMs})
	c.number("drain_ms", &s.DrainMs, valueRange{f.longestDeadlineMs() + drainMarginMs, 0, dayMs})
	c.number("remember_ms", &s.RememberMs, valueRange{600_000, 0, dayMs})
	c.number("most_dropped", &s.MaxDroppedFraction, valueRange{0.34, 0, 1})
	c.number("weight_step", &s.WeightStep, valueRange{2, 1, 1000})
	c.number("weight_every_ms", &s.WeightIntervalMs, valueRange{2000, 1, dayMs})
	c.number("resolve_ms", &s.ResolveTimeoutMs, valueRange{2000, 10, 60_000})
	c.number("ttl_ms", &s.ResolveTTLMs, valueRange{30_000, 100, dayMs})
}

func (f *OperatorFile) longestDeadlineMs() float64 {
	longest := float64(minLongestDeadlineMs)
	for _, class := range f.Classes {
		longest = max(longest, class.DeadlineMs)
	}
	return longest
}
