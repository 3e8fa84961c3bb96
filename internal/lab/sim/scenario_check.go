package sim

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Parse reads a scenario; what it leaves out has the values of DefaultScenario. It returns every defect, with its place.
func Parse(file string, text []byte) (Scenario, strictjson.Defects) {
	s := DefaultScenario()
	doc := strictjson.Decode(file, text, &s)
	if doc.Valid() {
		s.check(validator{doc})
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

// validator reports values of a document that cannot be used.
type validator struct{ *strictjson.Document }

// lastKey returns the last key of a path, for messages.
func lastKey(path string) string { return path[strings.LastIndexByte(path, '.')+1:] }

// within reports a defect unless the value at a path lies within bounds.
func (v validator) within(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		v.Failf(path, "%s %.10g is not %.10g to %.10g", lastKey(path), value, least, most)
	}
}

// countWithin is within for a number of things.
func (v validator) countWithin(path string, value, least, most int) {
	v.within(path, float64(value), float64(least), float64(most))
}

// oneOf reports a defect unless the value at a path is one of those allowed.
func oneOf[T ~string](v validator, path string, value T, allowed []T) {
	if slices.Contains(allowed, value) {
		return
	}
	var names []string
	for _, name := range allowed {
		if name != "" {
			names = append(names, string(name))
		}
	}
	v.Failf(path, "%s %q is none of %s", lastKey(path), value, strings.Join(names, ", "))
}

// Bounds of a scenario.
const (
	minSeconds       = 0.1
	maxSeconds       = 80_000
	maxWarmUpSeconds = 6400
	maxServers       = 10_000 // branches, and caches or proxies of a branch
	maxHubs          = 1000   // and parents of a hub, and proxies by default
	maxSlots         = 1e6
	maxQueue         = 1e7
	maxValue         = 1e12 // of times and sizes that have no bound of their own
	minFillTimeout   = 1
	maxFillTimeout   = 1e6
	minCapacity      = 0.001
	maxMultiple      = 1e6
	maxRate          = 1e6
	maxObjects       = 1e7
	maxZipfExponent  = 3
	maxRankShift     = 1e6
	maxRetries       = 20
	minKB            = 0.001
	maxKB            = 1e9
	maxDeadline      = 1e7
	maxWeight        = 1e6
	maxMagnitude     = 1000 // of a fault
)

func (s *Scenario) check(v validator) {
	v.within("seconds", s.Seconds, minSeconds, maxSeconds)
	v.within("warmup_s", s.WarmUpSeconds, 0, maxWarmUpSeconds)
	s.Fleet.check(v)
	s.Fleet.checkOperatorSettings(v)
	s.Traffic.check(v)
	s.Clients.check(v)
	v.within("rules.drain_ms", s.Rules.DrainGrace, 0, maxValue)
	v.within("rules.purge_ms", s.Rules.PurgeGrace, 0, maxValue)
	v.within("rules.answer_ms", s.Rules.AnswerGrace, 0, maxValue)
	for i, fault := range s.Faults {
		fault.check(v, fmt.Sprintf("troubles[%d]", i), s.Seconds)
	}
}

func (f Fleet) check(v validator) {
	v.countWithin("fleet.branches", f.Branches, 1, maxServers)
	v.countWithin("fleet.caches", f.CachesPerBranch, 1, maxServers)
	v.countWithin("fleet.proxies", f.ProxiesPerBranch, 1, maxHubs)
	v.countWithin("fleet.hubs", f.Hubs, 1, maxHubs)
	v.countWithin("fleet.parents", f.ParentsPerHub, 0, maxHubs)
	v.countWithin("fleet.slots", f.CacheSlots, 1, maxSlots)
	v.countWithin("fleet.origin_slots", f.OriginSlots, 0, maxSlots)
	v.countWithin("fleet.origin_queue", f.OriginQueue, 0, maxQueue)
	for path, value := range map[string]float64{
		"fleet.flow_kb_s": f.TransferKBPerS, "fleet.cache_kb": f.CacheKB, "fleet.parent_kb": f.ParentKB,
		"fleet.cache_link": f.CacheBandwidth, "fleet.parent_link": f.ParentBandwidth, "fleet.branch_link": f.BranchBandwidth,
		"fleet.origin_ms": f.OriginTime, "fleet.near_ms": f.BranchLatency, "fleet.hub_ms": f.HubLatency, "fleet.hub_step_ms": f.HubStepLatency,
		"fleet.board_lag_ms": f.DiscoveryDelay, "fleet.purge_lag_ms": f.PurgeNotificationDelay, "fleet.purge_takes_ms": f.PurgeDuration,
		"fleet.warm_ms": f.WarmUpTime,
	} {
		v.within(path, value, 0, maxValue)
	}
	v.within("fleet.fill_wait_ms", f.FillTimeout, minFillTimeout, maxFillTimeout)
	v.within("fleet.cold_from", f.InitialCapacity, minCapacity, 1)
	v.within("fleet.falls_at", f.OverloadMultiple, 1, maxMultiple)
	v.within("fleet.falls_in_ms", f.OverloadWindow, 1, maxMultiple)
}

// checkOperatorSettings checks the settings in which operators differ.
func (f Fleet) checkOperatorSettings(v validator) {
	perBranch := func(path string, counts []int) {
		if len(counts) > 0 && len(counts) != f.Branches {
			v.Failf(path, "%d numbers for %d branches", len(counts), f.Branches)
		}
		for i, count := range counts {
			v.countWithin(fmt.Sprintf("%s[%d]", path, i), count, 1, maxServers)
		}
	}
	perBranch("fleet.branch_caches", f.BranchCaches)
	perBranch("fleet.branch_proxies", f.BranchProxies)
	for i, size := range f.CacheSizes {
		v.within(fmt.Sprintf("fleet.cache_sizes[%d]", i), size, 0.01, 100)
	}
	v.within("fleet.weights_off", f.WeightError, 0, 0.9)
	v.within("fleet.fill_pace", f.FillRateMultiple, 0.01, 1000)
	v.countWithin("fleet.fills_at_once", f.MaxFills, 0, maxSlots)
	if f.ParentInitialCapacity != 0 {
		v.within("fleet.parent_cold_from", f.ParentInitialCapacity, minCapacity, 1)
	}
	v.within("fleet.parent_warm_ms", f.ParentWarmUpTime, 0, maxValue)
	if f.ParentOverloadMultiple != 0 {
		v.within("fleet.parent_falls_at", f.ParentOverloadMultiple, 1, maxMultiple)
	}
}

func (t Traffic) check(v validator) {
	v.within("traffic.per_s", t.Rate, 0, maxRate)
	v.countWithin("traffic.objects", t.Objects, 1, maxObjects)
	v.within("traffic.zipf", t.ZipfExponent, 0, maxZipfExponent)
	v.within("traffic.shift", t.RankShift, 0, maxRankShift)
	v.within("traffic.oneoff", t.OneOffFraction, 0, 1)
	v.within("traffic.purges_per_s", t.PurgeRate, 0, maxValue)
	if len(t.Classes) == 0 {
		v.Failf("traffic.classes", "classes is empty")
		return
	}
	total := 0.0
	for i, class := range t.Classes {
		total += class.Fraction
		class.check(v, fmt.Sprintf("traffic.classes[%d]", i))
	}
	if !(total > 0) {
		v.Failf("traffic.classes", "no class has a share")
	}
	if math.IsNaN(total) {
		v.Failf("traffic.classes", "shares are no numbers")
	}
}

func (c Class) check(v validator, path string) {
	if c.Name == "" {
		v.Failf(path+".name", "a class needs a name")
	}
	v.within(path+".share", c.Fraction, 0, 1e6)
	v.within(path+".kb", c.MeanKB, minKB, maxKB)
	v.countWithin(path+".parts", c.PartsPerObject, 1, 10_000)
	v.within(path+".deadline_ms", c.Deadline, 1, maxDeadline)
	v.within(path+".target_ms", c.LatencyObjective, 1, c.Deadline)
	v.within(path+".worth", c.PriorityWeight, 0, maxWeight)
	v.within(path+".late_value", c.LateFraction, 0, 1)
	v.within(path+".local", c.LocalFraction, 0, 1)
	oneOf(v, path+".effect", c.Effect, effects)
	switch {
	case c.Effect == IdempotentByKey:
		v.within(path+".window_ms", c.DedupWindow, 1, maxDeadline)
	case c.DedupWindow != 0:
		v.Failf(path+".window_ms", "window_ms goes with effect keyed")
	}
}

func (c Clients) check(v validator) {
	v.within("clients.backoff_ms", c.Backoff, 0, maxValue)
	v.within("clients.most_backoff_ms", c.MaxRetryAfter, 0, maxValue)
	v.within("clients.honour", c.HonourFraction, 0, 1)
	v.countWithin("clients.retries", c.Retries, 0, maxRetries)
	v.within("clients.try_share", c.MinAttemptFraction, 0.01, 1)
	oneOf(v, "clients.wait", c.BackoffKind, backoffKinds)
}

func (f Fault) check(v validator, path string, seconds float64) {
	oneOf(v, path+".kind", f.Kind, faultKinds)
	v.within(path+".at_s", f.At, 0, seconds)
	v.within(path+".for_s", f.Duration, 0, seconds)
	v.within(path+".size", f.Magnitude, 0, maxMagnitude)
	v.within(path+".extra", f.Extra, 0, maxMagnitude)
}
