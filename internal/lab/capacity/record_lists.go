package capacity

import (
	"encoding/json"
	"fmt"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/source/discoveryclient"
)

var serverKinds = []string{"cache", "parent", "origin"}

func zoneNames(servers int) []string {
	var out []string
	for n := range servers/cachesPerZone + 1 {
		out = append(out, fmt.Sprintf("zone-%02d", n))
	}
	return out
}

// boardList is what the notice board tells a process that starts.
func initialEvents(servers int) []byte {
	list := make([]membership.Member, servers)
	for n, e := range serverEntries(servers) {
		list[n] = e.Member
	}
	return fleet.NewDiscoveryService(clock.System(), zoneNames(servers), serverKinds, list).InitialEvents()
}

func jsonSize(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // of plain values
	}
	return float64(len(raw))
}

func recordLists() ([]Recording, error) {
	return []Recording{
		{Name: "lists/board", Role: ListSource, Driver: "servers", Quantity: "the whole list as the notice board tells it at a start", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 { return float64(len(initialEvents(n))) })},
		{Name: "lists/board-read", Role: ListSource, Driver: "servers", Quantity: "processor of reading it", Unit: "us",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				raw, names := initialEvents(n), discoveryclient.Names{Zones: zoneNames(n), Kinds: serverKinds}
				return cpuCost(func(int) {
					if _, _, err := discoveryclient.DecodeInitialEvents(raw, names); err != nil {
						panic(err) // it was written above
					}
				})
			})},
		{Name: "lists/file", Role: ListSource, Driver: "servers", Quantity: "a list file", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				return float64(len(serverlist.Format(&serverlist.List{Generation: 1, Servers: storeList(n).Servers})))
			})},
		{Name: "tools/servers", Role: Tools, Driver: "servers", Quantity: "the table of servers that a tool asks one proxy for", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 { return jsonSize(tableWithServers(n).Servers()) })},
		{Name: "tools/members", Role: Tools, Driver: "members", Quantity: "the table of members that a tool asks one proxy for", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				out := make([]fleetview.Peer, n)
				for i := range out {
					out[i] = fleetview.Peer{Name: memberName(i), Zone: "zone-17", Incarnation: 1_800_000_000_000, Age: 812, Arrivals: 765, Servers: serversPerDigest}
				}
				return jsonSize(out)
			})},
	}, nil
}
