// Package crosscheck compares the model of internal/lab/sim with the real proxy. It runs a small site twice: on sockets, where the
// proxy's front end, core and connections use stand-in servers in real time, and in the model. It returns figures of both runs and
// never judges whether they agree. All comparisons together take under a minute; "ravenlab validate" runs them, and CI does not.
// The package's tests check that the proxy on sockets keeps its rules with the scenario files of lab/.
package crosscheck

import (
	"context"
	"fmt"

	"ravenwheel/internal/core"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/sim"
	"ravenwheel/policy"
)

// Figure is one figure as measured on the proxy on sockets and in the model. Both values are from 0 to 1.
type Figure struct {
	Name           string
	Sockets, Model float64
}

// Difference returns the model's value minus that of the sockets.
func (r Figure) Difference() float64 { return r.Model - r.Sockets }

// fraction returns a/b. If both are 0, it returns 0.
func fraction(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// comparison runs the site on sockets and in the model, and returns the figures of both.
type comparison struct {
	description string
	run         func(context.Context) ([]Figure, error)
}

// comparisons returns all comparisons, in the order in which they run.
func comparisons() []comparison {
	var all []comparison
	for _, copies := range []int{60, 150, 350} {
		all = append(all, comparison{
			description: fmt.Sprintf("caches of %d copies", copies),
			run:         func(ctx context.Context) ([]Figure, error) { return compareCacheSize(ctx, copies) },
		})
	}
	return append(all,
		comparison{"a purge of all objects", comparePurge},
		comparison{"an unresponsive cache", compareUnresponsiveCache},
		comparison{"the loss of all copies in caches", compareLostCopies},
	)
}

// Run runs all comparisons. It calls progress with the description of each when it starts. If one fails, Run returns the figures of
// those before it.
func Run(ctx context.Context, progress func(string)) (figures []Figure, err error) {
	for _, c := range comparisons() {
		progress(c.description)
		more, err := c.run(ctx)
		if err != nil {
			return figures, fmt.Errorf("%s: %w", c.description, err)
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

// ampleCopies is a limit of copies at which no cache evicts any.
const ampleCopies = 4096

// compareCacheSize compares the hit ratio of caches that hold a limited number of copies. It leaves out the first seconds, in which
// the caches fill.
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
		fmt.Sprintf("hit ratio, caches of %d of 1200 parts", copies),
		fraction(socketHits, socketServed), fraction(modelHits, modelServed),
	}}, nil
}

// eventAt is the second of a run at which the purge or the loss of copies happens.
const eventAt = 5

// comparePurge compares the fraction of requests filled by the origin before and after a purge of all objects.
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
		originFills("origin fills per served request, second before a purge of all objects", eventAt-1),
		originFills("origin fills per served request, second after a purge of all objects", eventAt),
	}, nil
}

// compareUnresponsiveCache compares the fraction of requests that miss their latency objective in a run in which a cache does not
// answer for some seconds.
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
	return []Figure{{"requests not served within 100 ms, one of three caches unresponsive for 4 of 8 s", sockets.slow, model.SlowFraction}}, nil
}

// compareLostCopies compares the hit ratio in some seconds after all caches have lost their copies.
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
	var figures []Figure
	for _, after := range []int{0, 2, 4} {
		second := eventAt + after
		figures = append(figures, Figure{
			fmt.Sprintf("hit ratio in second %d after all caches lost their copies", after+1),
			fraction(sockets.seconds[second].hits, sockets.seconds[second].served),
			fraction(model.Seconds[second].Hits, model.Seconds[second].Served),
		})
	}
	return figures, nil
}
