package capacity

import (
	"fmt"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/source/discoveryclient"
)

var serverKinds = []string{"cache", "parent", "origin"}

func zoneName(n int) string { return fmt.Sprintf("zone-%02d", n) }

// zoneNames are the names of the zones of that many generated servers.
func zoneNames(servers int) []string {
	var names []string
	for n := range servers/cachesPerZone + 1 {
		names = append(names, zoneName(n))
	}
	return names
}

// initialEvents are the encoded events that the discovery service sends to a process when it starts.
func initialEvents(servers int) []byte {
	list := make([]membership.Member, servers)
	for n, entry := range serverEntries(servers) {
		list[n] = entry.Member
	}
	return fleet.NewDiscoveryService(clock.System(), zoneNames(servers), serverKinds, list).InitialEvents()
}

// initialEventsCost is the CPU time in µs of decoding the initial events.
func initialEventsCost(servers int) float64 {
	raw, names := initialEvents(servers), discoveryclient.Names{Zones: zoneNames(servers), Kinds: serverKinds}
	return cpuCost(func(int) {
		if _, _, err := discoveryclient.DecodeInitialEvents(raw, names); err != nil {
			panic(fmt.Sprintf("capacity: decoding generated events: %v", err))
		}
	})
}

// listFileSize is the size in bytes of a server list file.
func listFileSize(servers int) float64 {
	return float64(len(serverlist.Format(&serverlist.List{Generation: 1, Servers: newStoreList(servers).Servers})))
}

// peerTableSize is the size in bytes of a process's table of members as JSON.
func peerTableSize(members int) float64 {
	peers := make([]fleetview.Peer, members)
	for i := range peers {
		peers[i] = fleetview.Peer{
			Name: memberName(i), Zone: "zone-17", Incarnation: 1_800_000_000_000, Age: 812, Arrivals: 765, Servers: serversPerDigest,
		}
	}
	return jsonSize(peers)
}

func recordLists() ([]Recording, error) {
	return []Recording{
		{
			Name: "lists/board", Role: ListSource, Driver: "servers", Unit: "bytes",
			Quantity: "the whole list as the notice board tells it at a start",
			Points:   measureSizes(defaultSizes, func(n int) float64 { return float64(len(initialEvents(n))) }),
		},
		{
			Name: "lists/board-read", Role: ListSource, Driver: "servers", Quantity: "processor of reading it", Unit: "us",
			Points: measureSizes(defaultSizes, initialEventsCost),
		},
		{
			Name: "lists/file", Role: ListSource, Driver: "servers", Quantity: "a list file", Unit: "bytes",
			Points: measureSizes(defaultSizes, listFileSize),
		},
		{
			Name: "tools/servers", Role: Tools, Driver: "servers", Unit: "bytes",
			Quantity: "the table of servers that a tool asks one proxy for",
			Points:   measureSizes(defaultSizes, func(n int) float64 { return jsonSize(tableWithServers(n).Servers()) }),
		},
		{
			Name: "tools/members", Role: Tools, Driver: "members", Unit: "bytes",
			Quantity: "the table of members that a tool asks one proxy for",
			Points:   measureSizes(defaultSizes, peerTableSize),
		},
	}, nil
}
