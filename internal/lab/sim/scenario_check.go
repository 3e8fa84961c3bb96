package sim

import (
	"fmt"
	"math"

	"ravenwheel/internal/lab/bounds"
	"ravenwheel/internal/strictjson"
)

// Parse reads a scenario. Keys that the text leaves out have the values of DefaultScenario. It returns all defects, with their
// places in the file.
func Parse(file string, text []byte) (Scenario, strictjson.Defects) {
	s := DefaultScenario()
	doc := strictjson.Decode(file, text, &s)
	if doc.Valid() {
		s.check(bounds.Checker{Document: doc})
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

// Bounds of a scenario.
const (
	minSeconds       = 0.1
	maxSeconds       = 80_000
	maxWarmUpSeconds = 6400
	maxServers       = 10_000 // number of branches, and of caches or proxies of a branch where branches differ
	maxHubs          = 1000
	maxParents       = 1000 // of one hub
	maxProxies       = 1000 // of a branch, where all branches have the same number
	maxSlots         = 1e6
	maxQueue         = 1e7
	maxValue         = 1e12 // of values that have no bound of their own
	minFillTimeout   = 1
	maxFillTimeout   = 1e6
	minCapacity      = 0.001
	maxMultiple      = 1e6 // of a capacity
	maxWindow        = 1e6 // of overload, in ms
	maxRate          = 1e6
	maxObjects       = 1e7
	maxZipfExponent  = 3
	maxRankShift     = 1e6
	maxRetries       = 20
	minKB            = 0.001
	maxKB            = 1e9
	maxDeadline      = 1e7
	maxWeight        = 1e6
	maxMagnitude     = 1000 // also of a fault's extra
)

func (s *Scenario) check(b bounds.Checker) {
	b.Within("seconds", s.Seconds, minSeconds, maxSeconds)
	b.Within("warmup_s", s.WarmUpSeconds, 0, maxWarmUpSeconds)
	s.Fleet.check(b)
	s.Fleet.checkOperatorSettings(b)
	s.Traffic.check(b)
	s.Clients.check(b)
	b.Within("rules.drain_ms", s.Rules.DrainGrace, 0, maxValue)
	b.Within("rules.purge_ms", s.Rules.PurgeGrace, 0, maxValue)
	b.Within("rules.answer_ms", s.Rules.AnswerGrace, 0, maxValue)
	for i, fault := range s.Faults {
		fault.check(b, fmt.Sprintf("troubles[%d]", i), s.Seconds)
	}
}

func (f Fleet) check(b bounds.Checker) {
	b.CountWithin("fleet.branches", f.Branches, 1, maxServers)
	b.CountWithin("fleet.caches", f.CachesPerBranch, 1, maxServers)
	b.CountWithin("fleet.proxies", f.ProxiesPerBranch, 1, maxProxies)
	b.CountWithin("fleet.hubs", f.Hubs, 1, maxHubs)
	b.CountWithin("fleet.parents", f.ParentsPerHub, 0, maxParents)
	b.CountWithin("fleet.slots", f.CacheSlots, 1, maxSlots)
	b.CountWithin("fleet.origin_slots", f.OriginSlots, 0, maxSlots)
	b.CountWithin("fleet.origin_queue", f.OriginQueue, 0, maxQueue)
	for path, value := range map[string]float64{
		"fleet.flow_kb_s": f.TransferKBPerS, "fleet.cache_kb": f.CacheKB, "fleet.parent_kb": f.ParentKB,
		"fleet.cache_link": f.CacheBandwidth, "fleet.parent_link": f.ParentBandwidth, "fleet.branch_link": f.BranchBandwidth,
		"fleet.origin_ms": f.OriginTime, "fleet.near_ms": f.BranchLatency, "fleet.hub_ms": f.HubLatency, "fleet.hub_step_ms": f.HubStepLatency,
		"fleet.board_lag_ms": f.DiscoveryDelay, "fleet.purge_lag_ms": f.PurgeNotificationDelay, "fleet.purge_takes_ms": f.PurgeDuration,
		"fleet.warm_ms": f.WarmUpTime,
	} {
		b.Within(path, value, 0, maxValue)
	}
	b.Within("fleet.fill_wait_ms", f.FillTimeout, minFillTimeout, maxFillTimeout)
	b.Within("fleet.cold_from", f.InitialCapacity, minCapacity, 1)
	b.Within("fleet.falls_at", f.OverloadMultiple, 1, maxMultiple)
	b.Within("fleet.falls_in_ms", f.OverloadWindow, 1, maxWindow)
}

// checkOperatorSettings checks the settings in which operators differ.
func (f Fleet) checkOperatorSettings(b bounds.Checker) {
	perBranch := func(path string, counts []int) {
		if len(counts) > 0 && len(counts) != f.Branches {
			b.Failf(path, "has %d numbers, but must have one for each of %d branches", len(counts), f.Branches)
		}
		for i, count := range counts {
			b.CountWithin(fmt.Sprintf("%s[%d]", path, i), count, 1, maxServers)
		}
	}
	perBranch("fleet.branch_caches", f.BranchCaches)
	perBranch("fleet.branch_proxies", f.BranchProxies)
	for i, size := range f.CacheSizes {
		b.Within(fmt.Sprintf("fleet.cache_sizes[%d]", i), size, 0.01, 100)
	}
	b.Within("fleet.weights_off", f.WeightError, 0, 0.9)
	b.Within("fleet.fill_pace", f.FillRateMultiple, 0.01, 1000)
	b.CountWithin("fleet.fills_at_once", f.MaxFills, 0, maxSlots)
	if f.ParentInitialCapacity != 0 {
		b.Within("fleet.parent_cold_from", f.ParentInitialCapacity, minCapacity, 1)
	}
	b.Within("fleet.parent_warm_ms", f.ParentWarmUpTime, 0, maxValue)
	if f.ParentOverloadMultiple != 0 {
		b.Within("fleet.parent_falls_at", f.ParentOverloadMultiple, 1, maxMultiple)
	}
}

func (t Traffic) check(b bounds.Checker) {
	b.Within("traffic.per_s", t.Rate, 0, maxRate)
	b.CountWithin("traffic.objects", t.Objects, 1, maxObjects)
	b.Within("traffic.zipf", t.ZipfExponent, 0, maxZipfExponent)
	b.Within("traffic.shift", t.RankShift, 0, maxRankShift)
	b.Within("traffic.oneoff", t.OneOffFraction, 0, 1)
	b.Within("traffic.purges_per_s", t.PurgeRate, 0, maxValue)
	if len(t.Classes) == 0 {
		b.Failf("traffic.classes", "classes is empty, must have at least one class")
		return
	}
	total := 0.0
	for i, class := range t.Classes {
		total += class.Fraction
		class.check(b, fmt.Sprintf("traffic.classes[%d]", i))
	}
	if !(total > 0) {
		b.Failf("traffic.classes", "all shares are 0, but at least one class must have a share")
	}
	if math.IsNaN(total) {
		b.Failf("traffic.classes", "a share is not a number")
	}
}

func (c Class) check(b bounds.Checker, path string) {
	if c.Name == "" {
		b.Failf(path+".name", "name is empty, but every class must have a name")
	}
	b.Within(path+".share", c.Fraction, 0, 1e6)
	b.Within(path+".kb", c.MeanKB, minKB, maxKB)
	b.CountWithin(path+".parts", c.PartsPerObject, 1, 10_000)
	b.Within(path+".deadline_ms", c.Deadline, 1, maxDeadline)
	b.Within(path+".target_ms", c.LatencyObjective, 1, c.Deadline)
	b.Within(path+".worth", c.PriorityWeight, 0, maxWeight)
	b.Within(path+".late_value", c.LateFraction, 0, 1)
	b.Within(path+".local", c.LocalFraction, 0, 1)
	bounds.OneOf(b, path+".effect", c.Effect, effects)
	switch {
	case c.Effect == IdempotentByKey:
		b.Within(path+".window_ms", c.DedupWindow, 1, maxDeadline)
	case c.DedupWindow != 0:
		b.Failf(path+".window_ms", "window_ms is allowed only with effect \"keyed\"")
	}
}

func (c Clients) check(b bounds.Checker) {
	b.Within("clients.backoff_ms", c.Backoff, 0, maxValue)
	b.Within("clients.most_backoff_ms", c.MaxRetryAfter, 0, maxValue)
	b.Within("clients.honour", c.HonourFraction, 0, 1)
	b.CountWithin("clients.retries", c.Retries, 0, maxRetries)
	b.Within("clients.try_share", c.MinAttemptFraction, 0.01, 1)
	bounds.OneOf(b, "clients.wait", c.BackoffKind, backoffKinds)
}

func (f Fault) check(b bounds.Checker, path string, seconds float64) {
	bounds.OneOf(b, path+".kind", f.Kind, faultKinds)
	b.Within(path+".at_s", f.At, 0, seconds)
	b.Within(path+".for_s", f.Duration, 0, seconds)
	b.Within(path+".size", f.Magnitude, 0, maxMagnitude)
	b.Within(path+".extra", f.Extra, 0, maxMagnitude)
}
