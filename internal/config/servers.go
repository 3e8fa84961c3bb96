package config

import (
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/strictjson"
)

// Servers is the server list that is watched on disk.
type Servers struct {
	Path               string  `json:"path"`         // of a file or a directory; relative to that of the operator's file
	QuietMs            float64 `json:"quiet_ms"`     // how long the files must stay unchanged before they are read
	MaxWaitMs          float64 `json:"most_wait_ms"` // files that never stay unchanged are read after so long
	PollMs             float64 `json:"poll_ms"`
	DrainMs            float64 `json:"drain_ms"`    // how long a server that is no longer listed drains
	RememberMs         float64 `json:"remember_ms"` // how long a server that is gone is remembered
	MaxDroppedFraction float64 `json:"most_dropped"`
	WeightStep         float64 `json:"weight_step"` // factor by which a weight changes at most at once
	WeightIntervalMs   float64 `json:"weight_every_ms"`
	ResolveTimeoutMs   float64 `json:"resolve_ms"`
	ResolveTTLMs       float64 `json:"ttl_ms"`
}

// Debounce returns when a change of the files is read.
func (s *Servers) Debounce() debounce.Settings {
	return debounce.Settings{QuietPeriod: s.QuietMs, MaxDelay: s.MaxWaitMs, PollInterval: s.PollMs}
}

const (
	// minLongestDeadlineMs: servers drain at least as long as the longest deadline that the platform has.
	minLongestDeadlineMs = 3000
	// drainMarginMs is added to the longest deadline for the default drain.
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
