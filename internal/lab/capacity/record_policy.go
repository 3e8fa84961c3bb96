package capacity

import (
	"fmt"
	"time"

	"ravenwheel/policy"
)

// cachesPerZone is the target's number of caches in a zone. Zones in generated server lists have this many servers.
const cachesPerZone = 82

// serverAt is the n-th generated server.
func serverAt(n int) policy.Member {
	return policy.Member{ID: policy.ServerID(n + 1), Zone: n / cachesPerZone, Cell: n % 7, Weight: 4}
}

// changedServer is the index of the server that the i-th change concerns. Successive changes are spread over a list of n servers.
func changedServer(i, n int) int { return i * 37 % n }

// objectName is the name of the n-th generated object, nameBytes long.
func objectName(n int) string { return fmt.Sprintf("%0*x", nameBytes, n) }

func newRouter() *policy.Router {
	r, err := policy.New(policy.Settings{
		Routers: 1, ParentKind: 1, OriginKind: 2, PurgeDuration: 6800 * time.Millisecond, Classes: []policy.Class{{Deadline: time.Second}},
	}, 7)
	if err != nil {
		panic(fmt.Sprintf("capacity: settings of the policy module: %v", err))
	}
	return r
}

func routerWithServers(servers int) *policy.Router {
	r := newRouter()
	list := make([]policy.Member, servers)
	for n := range list {
		list[n] = serverAt(n)
	}
	r.Handle(1, policy.Members{Kind: policy.ListFull, Entries: list}, nil)
	return r
}

func routerWithPurges(purges int) *policy.Router {
	r := newRouter()
	for n := range purges {
		r.Handle(policy.Time(n), policy.Purged{Object: objectName(n), Group: -1}, nil)
	}
	return r
}

// serverChangeCost is the policy module's CPU time in µs for a change of one server.
func serverChangeCost(servers int) float64 {
	r := routerWithServers(servers)
	return cpuCost(func(i int) {
		server := serverAt(changedServer(i, servers))
		server.State = policy.State(i % 3)
		r.Handle(policy.Time(i+2), policy.Members{Entries: []policy.Member{server}}, nil)
	})
}

// routerPurgeCost is the policy module's CPU time in µs for a purge.
func routerPurgeCost(purges int) float64 {
	r := routerWithPurges(purges)
	return cpuCost(func(i int) {
		r.Handle(policy.Time(purges+i), policy.Purged{Object: objectName(purges + i), Group: -1}, nil)
	})
}

func recordPolicy() ([]Recording, error) {
	return []Recording{
		{
			Name: "policy/memory", Role: Proxy, Driver: "servers", Quantity: "memory of the module", Unit: "bytes",
			Points: measureHeap(routerWithServers),
		},
		{
			Name: "policy/change", Role: Proxy, Driver: "servers", Quantity: "processor of a change of one server", Unit: "us",
			Points: measureSizes(defaultSizes, serverChangeCost),
		},
		{
			Name: "policy/purge-memory", Role: Proxy, Driver: "purges", Quantity: "memory of the module", Unit: "bytes",
			Points: measureHeap(routerWithPurges),
		},
		{
			Name: "policy/purge", Role: Proxy, Driver: "purges", Quantity: "processor of one purge more", Unit: "us",
			Points: measureSizes(defaultSizes, routerPurgeCost),
		},
	}, nil
}
