package crosscheck

import (
	"context"

	"ravenwheel/internal/lab/sim"
)

// modelSeed is the seed of the model's runs.
const modelSeed = 1

// modelSpec returns the site in the model, with stores of some copies.
func modelSpec(seconds float64, copies int) sim.Spec {
	s := sim.Default()
	s.Seconds = seconds
	f := &s.Fleet
	f.Branches, f.Caches, f.Proxies, f.Hubs, f.Parents = 1, cacheCount, 1, 1, 1
	// On the sockets a transfer takes only the stand-ins' own time, so sizes are negligible.
	f.Flow, f.CacheLink, f.ParentLink, f.BranchLink = 100_000, 1e6, 1e6, 1e6
	f.CacheRoom, f.ParentRoom = float64(copies)*0.5, float64(copies)*0.5
	f.Near, f.ToHub, f.Origin, f.OriginMs = transferTime/2, fillTime/2, 10_000, 0.001
	f.ColdFrom, f.BoardLag, f.PurgeLag = 1, 1e9, 0 // on sockets, no list is published after the start
	s.Traffic = sim.Traffic{PerS: rate, Objects: objectCount, Zipf: 1.1, Shift: 7, Classes: []sim.Class{
		{Name: className, Share: 1, KB: 0.001, Parts: partsPerObject, Target: latencyObjective, Deadline: deadline, Worth: 1},
	}}
	return s
}

func playModel(s sim.Spec) (*sim.Result, error) { return sim.Run(context.Background(), s, modelSeed) }
