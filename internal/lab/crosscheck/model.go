package crosscheck

import (
	"context"

	"ravenwheel/internal/lab/sim"
)

// modelSeed is the seed of the model's runs.
const modelSeed = 1

// modelScenario returns the site as a scenario of the model, in which caches and the parent hold a number of copies.
func modelScenario(seconds float64, copies int) sim.Scenario {
	s := sim.DefaultScenario()
	s.Seconds = seconds
	f := &s.Fleet
	f.Branches, f.CachesPerBranch, f.ProxiesPerBranch, f.Hubs, f.ParentsPerHub = 1, cacheCount, 1, 1, 1
	// On sockets the size of a part does not affect the duration of its transfer, so the model's links are fast enough for sizes
	// not to matter.
	f.TransferKBPerS, f.CacheBandwidth, f.ParentBandwidth, f.BranchBandwidth = 100_000, 1e6, 1e6, 1e6
	f.CacheKB, f.ParentKB = float64(copies)*0.5, float64(copies)*0.5
	f.BranchLatency, f.HubLatency, f.OriginSlots, f.OriginTime = transferTime/2, fillTime/2, 10_000, 0.001
	f.InitialCapacity, f.DiscoveryDelay, f.PurgeNotificationDelay = 1, 1e9, 0 // on sockets, no server list is published after the start
	s.Traffic = sim.Traffic{Rate: rate, Objects: objectCount, ZipfExponent: 1.1, RankShift: 7, Classes: []sim.Class{
		{
			Name: className, Fraction: 1, MeanKB: 0.001, PartsPerObject: partsPerObject, LatencyObjective: latencyObjective, Deadline: deadline,
			PriorityWeight: 1,
		},
	}}
	return s
}

// runModel runs a scenario in the model.
func runModel(s sim.Scenario) (*sim.Result, error) {
	return sim.Run(context.Background(), s, modelSeed)
}
