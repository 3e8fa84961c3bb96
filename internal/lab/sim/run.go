// Package sim is a deterministic discrete-event model of the fleet that proxies route requests in: branches with caches, parents at
// hubs, an origin, clients, links with limited bandwidth, and a discovery service that notifies late. The model's proxies run the
// real proxy's policy (package policy) and share no state. Time is virtual, in ms; equal scenarios and seeds give equal results.
//
// Each purpose has its own stream of random numbers (see stream). The number and order of the draws, and the order in which
// events are scheduled, affect the results. internal/lab/crosscheck measures how the model compares with the real proxy on sockets;
// see docs/measurements/lab.md.
package sim

import "context"

// Run simulates a scenario with the real proxy's policy. If ctx ends, it returns the result until then, with an error.
func Run(ctx context.Context, s Scenario, seed uint64) (*Result, error) {
	return RunStrategy(ctx, s, seed, RouterStrategy)
}

// eventsPerCancelCheck is the number of events between checks whether ctx has ended.
const eventsPerCancelCheck = 1 << 16

// RunStrategy is Run with any strategy. With equal seeds, all strategies get the same requests and faults.
func RunStrategy(ctx context.Context, scenario Scenario, seed uint64, strategy Strategy) (*Result, error) {
	s, err := newSimulation(scenario, seed, strategy)
	if err != nil {
		return nil, err
	}
	s.start()
	for {
		if s.handled%eventsPerCancelCheck == 0 && ctx.Err() != nil {
			break
		}
		e, ok := s.next()
		if !ok || e.at > s.end()+s.settleTime() {
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
	r.Violations, r.ViolationTexts = s.checker.violationCount, s.checker.violationTexts
	for _, server := range s.servers {
		if server.kind == kindCache {
			server.outbound.update()
			r.CacheLoads = append(r.CacheLoads, server.outbound.totalKB)
		}
	}
	return r
}
