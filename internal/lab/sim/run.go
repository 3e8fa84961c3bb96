// Package sim is a deterministic discrete-event model of what a proxy balances: branches with caches, parents at hubs, an
// origin, clients, links with limited bandwidth, and a discovery service that notifies late. The proxies in it run the proxy's
// own policy (package policy) and share nothing. Time is virtual, in ms; equal scenarios and seeds give equal results.
//
// Random numbers come from one stream for each purpose (see stream). The number and order of the draws, and the order in which
// events are scheduled, are part of the results. How the model compares with the proxy on sockets is measured by
// internal/lab/crosscheck; see docs/measurements/lab.md.
package sim

import "context"

// Run plays a scenario with the proxy's own policy. If ctx ends, it returns what was played until then, with an error.
func Run(ctx context.Context, s Scenario, seed uint64) (*Result, error) {
	return RunStrategy(ctx, s, seed, RouterStrategy)
}

// cancelInterval is the number of events between two checks whether the run is cancelled.
const cancelInterval = 1 << 16

// RunStrategy is Run with another player. Equal seeds give all players the same requests and faults.
func RunStrategy(ctx context.Context, scenario Scenario, seed uint64, player Strategy) (*Result, error) {
	s, err := newSimulation(scenario, seed, player)
	if err != nil {
		return nil, err
	}
	s.start()
	for {
		if s.handled%cancelInterval == 0 && ctx.Err() != nil {
			break
		}
		e, ok := s.next()
		if !ok || e.at > s.end()+s.drainTime() {
			break
		}
		e.call()
	}
	return s.finish(), ctx.Err()
}

// finish returns the result of the run.
func (s *simulation) finish() *Result {
	r := s.result
	r.finish()
	r.Events = s.handled
	r.Violations, r.ViolationTexts = s.checker.count, s.checker.texts
	for _, server := range s.servers {
		if server.kind == kindCache {
			server.outbound.update()
			r.CacheLoads = append(r.CacheLoads, server.outbound.totalKB)
		}
	}
	return r
}
