// Package crosscheck compares the model of internal/lab/sim with the real proxy. A small site is played twice: by the proxy's
// front end, core and connections against stand-in servers on sockets, in real time, and by the model. It returns figures that
// both show and judges none of them. A comparison takes under a minute; "ravenlab validate" runs it, and CI does not. The
// package's tests check that the proxy keeps its rules on sockets in the scenarios of lab/.
package crosscheck

import (
	"context"
	"fmt"

	"ravenwheel/internal/core"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/sim"
	"ravenwheel/policy"
)

// Figure is a figure of the proxy on sockets and of the model, each from 0 to 1.
type Figure struct {
	Name           string
	Sockets, Model float64
}

// Difference returns by how much the model's figure is higher.
func (r Figure) Difference() float64 { return r.Model - r.Sockets }

// fraction returns a of b, or 0 for b = 0.
func fraction(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// comparison plays a site on sockets and in the model, and returns the relations between them.
type comparison struct {
	description string
	run         func(context.Context) ([]Figure, error)
}

// comparisons are all comparisons, in order.
func comparisons() []comparison {
	var all []comparison
	for _, copies := range []int{60, 150, 350} {
		all = append(all, comparison{
			description: fmt.Sprintf("stores of %d copies", copies),
			run:         func(ctx context.Context) ([]Figure, error) { return compareCacheSize(ctx, copies) },
		})
	}
	return append(all,
		comparison{"a purge of everything", comparePurge},
		comparison{"a cache that hangs", compareUnresponsiveCache},
		comparison{"a branch that loses its copies", compareLostCopies},
	)
}

// Run makes all comparisons and reports the start of each to progress. With an error it returns the relations up to then.
func Run(ctx context.Context, progress func(string)) (relations []Figure, err error) {
	for _, c := range comparisons() {
		progress(c.description)
		more, err := c.run(ctx)
		if err != nil {
			return relations, fmt.Errorf("%s: %w", c.description, err)
		}
		relations = append(relations, more...)
	}
	return relations, nil
}

// ampleCopies is a size of the stores at which no copy is evicted.
const ampleCopies = 4096

// compareCacheSize compares the hit ratio of caches with a limited number of copies, after the first seconds.
func compareCacheSize(ctx context.Context, copies int) ([]Figure, error) {
	const from, to = 2, 6 // seconds
	sockets, err := runOnSockets(ctx, socketRun{seconds: to, copies: copies})
	if err != nil {
		return nil, err
	}
	model, err := runModel(modelScenario(to, copies))
	if err != nil {
		return nil, err
	}
	var socketHits, socketServed, modelHits, modelServed int
	for _, second := range sockets.seconds[from:to] {
		socketHits += second.hits
		socketServed += second.served
	}
	for _, second := range model.Seconds[from:to] {
		modelHits += second.Hits
		modelServed += second.Served
	}
	return []Figure{{
		fmt.Sprintf("share of hits, stores of %d of 1200 parts", copies),
		fraction(socketHits, socketServed), fraction(modelHits, modelServed),
	}}, nil
}

// eventAt is the second at which the purge or the loss of copies happens.
const eventAt = 5

// comparePurge compares the fills from the origin before and after a purge of all objects.
func comparePurge(ctx context.Context) ([]Figure, error) {
	const seconds = 9
	sockets, err := runOnSockets(ctx, socketRun{seconds: seconds, copies: ampleCopies, everySecond: func(second int, servers *fleet.Fleet, c *core.Core) {
		if second != eventAt {
			return
		}
		for group := range fleet.GroupCount {
			at := servers.Purge("", group)
			c.ApplyPurge(core.Purge{Group: group, At: at + 1})
		}
	}})
	if err != nil {
		return nil, err
	}
	scenario := modelScenario(seconds, ampleCopies)
	scenario.Faults = []sim.Fault{{At: eventAt, Kind: sim.PurgeObjects, Magnitude: 1}}
	model, err := runModel(scenario)
	if err != nil {
		return nil, err
	}
	originFills := func(name string, second int) Figure {
		return Figure{
			name, fraction(sockets.seconds[second].originFills, sockets.seconds[second].served),
			fraction(model.Seconds[second].OriginFills, model.Seconds[second].Served),
		}
	}
	return []Figure{
		originFills("fills by the origin, of answers, in the second before a purge of all", eventAt-1),
		originFills("the same in the second after it", eventAt),
	}, nil
}

// compareUnresponsiveCache compares the requests that miss their latency objective while a cache does not answer.
func compareUnresponsiveCache(ctx context.Context) ([]Figure, error) {
	const seconds, from, to = 8, 2, 6
	sockets, err := runOnSockets(ctx, socketRun{seconds: seconds, copies: ampleCopies, everySecond: func(second int, servers *fleet.Fleet, _ *core.Core) {
		if second == from || second == to {
			servers.Server(firstCache).SetFault(fleet.Fault{Unresponsive: second == from})
		}
	}})
	if err != nil {
		return nil, err
	}
	scenario := modelScenario(seconds, ampleCopies)
	scenario.Faults = []sim.Fault{{At: from, Duration: to - from, Kind: sim.HangCaches, Magnitude: 0.3}}
	model, err := runModel(scenario)
	if err != nil {
		return nil, err
	}
	return []Figure{{"wants not served within 100 ms, one cache of three hanging for 4 s of 8", sockets.slow, model.SlowFraction}}, nil
}

// compareLostCopies compares the hit ratio after all caches have lost their copies.
func compareLostCopies(ctx context.Context) ([]Figure, error) {
	const seconds = 10
	sockets, err := runOnSockets(ctx, socketRun{seconds: seconds, copies: ampleCopies, everySecond: func(second int, servers *fleet.Fleet, _ *core.Core) {
		if second != eventAt {
			return
		}
		for i := range policy.ServerID(cacheCount) {
			servers.Server(firstCache + i).DropCopies()
		}
	}})
	if err != nil {
		return nil, err
	}
	scenario := modelScenario(seconds, ampleCopies)
	scenario.Faults = []sim.Fault{{At: eventAt, Kind: sim.DropCopies}}
	model, err := runModel(scenario)
	if err != nil {
		return nil, err
	}
	var relations []Figure
	for _, after := range []int{0, 2, 4} {
		second := eventAt + after
		relations = append(relations, Figure{
			fmt.Sprintf("share of hits in second %d after a branch lost its copies", after+1),
			fraction(sockets.seconds[second].hits, sockets.seconds[second].served),
			fraction(model.Seconds[second].Hits, model.Seconds[second].Served),
		})
	}
	return relations, nil
}
