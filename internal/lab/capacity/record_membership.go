package capacity

import (
	"fmt"

	"ravenwheel/internal/decide/membership"
)

// serverPort is the port of all generated servers.
const serverPort = 4100

func serverHost(n int) string { return fmt.Sprintf("10.%d.%d.%d", n>>16, n>>8&255, n&255) }

func serverAddr(n int) string { return fmt.Sprintf("%s:%d", serverHost(n), serverPort) }

// serverEntries are generated servers as entries of a server list.
func serverEntries(servers int) []membership.Entry {
	list := make([]membership.Entry, servers)
	for n := range list {
		list[n].Member = membership.Member{Member: serverAt(n), Addr: serverAddr(n)}
	}
	return list
}

func tableWithServers(servers int) *membership.Table {
	table, err := membership.New(membership.Settings{Sources: []membership.Source{{Name: "store"}}, DrainTimeout: 10_000, GoneRetention: 10_000})
	if err != nil {
		panic(fmt.Sprintf("capacity: settings of the membership table: %v", err))
	}
	table.Handle(1, membership.Snapshot{Generation: 1, Entries: serverEntries(servers)}, nil)
	return table
}

// tableDeltaCost is the membership table's CPU time in µs for a delta that changes one server.
func tableDeltaCost(servers int) float64 {
	table, list := tableWithServers(servers), serverEntries(servers)
	return cpuCost(func(i int) {
		entry := list[changedServer(i, servers)]
		entry.Weight = float64(1 + i%4)
		table.Handle(float64(i+2), membership.Delta{Generation: uint64(i + 2), Entries: []membership.Entry{entry}}, nil)
	})
}

// tableSnapshotCost is the membership table's CPU time in µs for a complete list in which one server has changed.
func tableSnapshotCost(servers int) float64 {
	table, list := tableWithServers(servers), serverEntries(servers)
	return cpuCost(func(i int) {
		list[changedServer(i, servers)].Weight = float64(1 + i%4)
		table.Handle(float64(i+2), membership.Snapshot{Generation: uint64(i + 2), Entries: list}, nil)
	})
}

func recordMembership() ([]Recording, error) {
	return []Recording{
		{
			Name: "ledger/memory", Role: Proxy, Driver: "servers", Quantity: "memory of the ledger", Unit: "bytes",
			Points: measureHeap(tableWithServers),
		},
		{
			Name: "ledger/change", Role: Proxy, Driver: "servers", Unit: "us",
			Quantity: "processor of a change of one server, told as a change",
			Points:   measureSizes(defaultSizes, tableDeltaCost),
		},
		{
			Name: "ledger/list", Role: Proxy, Driver: "servers", Unit: "us",
			Quantity: "processor of a change of one server, told as a whole list",
			Points:   measureSizes(defaultSizes, tableSnapshotCost),
		},
	}, nil
}
