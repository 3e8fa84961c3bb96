package capacity

import (
	"fmt"
	"time"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

// cachesAZone of the target, so that drawn lists look like the fleet's.
const cachesPerZone = 82

// serverAt is the server of a number, in zones as large as the target's.
func serverAt(n int) policy.Member {
	return policy.Member{ID: policy.CacheID(n + 1), Zone: n / cachesPerZone, Cell: n % 7, Weight: 4}
}

func newRouter() *policy.Router {
	r, err := policy.New(policy.Settings{
		Routers: 1, ParentKind: 1, OriginKind: 2, PurgeDuration: 6800 * time.Millisecond, Classes: []policy.Class{{Deadline: time.Second}},
	}, 7)
	if err != nil {
		panic(err) // of fixed settings
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

// objectName is one of the length that is assumed for the fleet's objects.
func objectName(n int) string { return fmt.Sprintf("%0*x", nameBytes, n) }

func routerWithPurges(purges int) *policy.Router {
	r := newRouter()
	for n := range purges {
		r.Handle(policy.Time(n), policy.Purged{Object: objectName(n), Group: -1}, nil)
	}
	return r
}

func recordPolicy() ([]Recording, error) {
	base := Recording{Role: Proxy}
	make := func(name, driver, quantity, unit string, points []Point) Recording {
		r := base
		r.Name, r.Driver, r.Quantity, r.Unit, r.Points = name, driver, quantity, unit, points
		return r
	}
	return []Recording{
		make("policy/memory", "servers", "memory of the module", "bytes",
			measureSizes(defaultSizes, func(n int) float64 { return heapBytes(func() any { return routerWithServers(n) }) })),
		make("policy/change", "servers", "processor of a change of one server", "us", measureSizes(defaultSizes, func(n int) float64 {
			r := routerWithServers(n)
			return cpuCost(func(i int) {
				m := serverAt(i * 37 % n)
				m.State = policy.State(i % 3)
				r.Handle(policy.Time(i+2), policy.Members{Entries: []policy.Member{m}}, nil)
			})
		})),
		make("policy/purge-memory", "purges", "memory of the module", "bytes",
			measureSizes(defaultSizes, func(n int) float64 { return heapBytes(func() any { return routerWithPurges(n) }) })),
		make("policy/purge", "purges", "processor of one purge more", "us", measureSizes(defaultSizes, func(n int) float64 {
			r := routerWithPurges(n)
			return cpuCost(func(i int) { r.Handle(policy.Time(n+i), policy.Purged{Object: objectName(n + i), Group: -1}, nil) })
		})),
	}, nil
}

// entries are those of a source that lists so many servers.
func serverEntries(servers int) []membership.Entry {
	list := make([]membership.Entry, servers)
	for n := range list {
		list[n].Member = membership.Member{Member: serverAt(n), Addr: serverAddr(n)}
	}
	return list
}

func serverAddr(n int) string { return fmt.Sprintf("10.%d.%d.%d:4100", n>>16, n>>8&255, n&255) }

func tableWithServers(servers int) *membership.Table {
	l, err := membership.New(membership.Settings{Sources: []membership.Source{{Name: "store"}}, DrainTimeout: 10_000, GoneRetention: 10_000})
	if err != nil {
		panic(err) // of fixed settings
	}
	l.Handle(1, membership.Snapshot{Generation: 1, Entries: serverEntries(servers)}, nil)
	return l
}

func recordMembership() ([]Recording, error) {
	return []Recording{
		{Name: "ledger/memory", Role: Proxy, Driver: "servers", Quantity: "memory of the ledger", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 { return heapBytes(func() any { return tableWithServers(n) }) })},
		{Name: "ledger/change", Role: Proxy, Driver: "servers", Quantity: "processor of a change of one server, told as a change", Unit: "us",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				l, list := tableWithServers(n), serverEntries(n)
				return cpuCost(func(i int) {
					e := list[i*37%n]
					e.Weight = float64(1 + i%4)
					l.Handle(float64(i+2), membership.Delta{Generation: uint64(i + 2), Entries: []membership.Entry{e}}, nil)
				})
			})},
		{Name: "ledger/list", Role: Proxy, Driver: "servers", Quantity: "processor of a change of one server, told as a whole list", Unit: "us",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				l, list := tableWithServers(n), serverEntries(n)
				return cpuCost(func(i int) {
					list[i*37%n].Weight = float64(1 + i%4)
					l.Handle(float64(i+2), membership.Snapshot{Generation: uint64(i + 2), Entries: list}, nil)
				})
			})},
	}, nil
}
