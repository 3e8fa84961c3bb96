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

var kinds = []string{"cache", "parent", "origin"}

func zoneNames(servers int) []string {
	var out []string
	for n := range servers/cachesAZone + 1 {
		out = append(out, fmt.Sprintf("zone-%02d", n))
	}
	return out
}

// boardList is what the notice board tells a process that starts.
func boardList(servers int) []byte {
	list := make([]membership.Member, servers)
	for n, e := range entries(servers) {
		list[n] = e.Member
	}
	return fleet.NewDiscoveryService(clock.System(), zoneNames(servers), kinds, list).InitialEvents()
}

func asJSON(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // of plain values
	}
	return float64(len(raw))
}

func recordLists() ([]Recording, error) {
	return []Recording{
		{Name: "lists/board", Role: ListSource, Driver: "servers", Quantity: "the whole list as the notice board tells it at a start", Unit: "bytes",
			Points: over(sizes, func(n int) float64 { return float64(len(boardList(n))) })},
		{Name: "lists/board-read", Role: ListSource, Driver: "servers", Quantity: "processor of reading it", Unit: "us",
			Points: over(sizes, func(n int) float64 {
				raw, names := boardList(n), discoveryclient.Names{Zones: zoneNames(n), Kinds: kinds}
				return cost(func(int) {
					if _, _, err := discoveryclient.DecodeInitialEvents(raw, names); err != nil {
						panic(err) // it was written above
					}
				})
			})},
		{Name: "lists/file", Role: ListSource, Driver: "servers", Quantity: "a list file", Unit: "bytes",
			Points: over(sizes, func(n int) float64 {
				return float64(len(serverlist.Format(&serverlist.List{Generation: 1, Servers: storeList(n).Servers})))
			})},
		{Name: "tools/servers", Role: Tools, Driver: "servers", Quantity: "the table of servers that a tool asks one proxy for", Unit: "bytes",
			Points: over(sizes, func(n int) float64 { return asJSON(ledgerOf(n).Servers()) })},
		{Name: "tools/members", Role: Tools, Driver: "members", Quantity: "the table of members that a tool asks one proxy for", Unit: "bytes",
			Points: over(sizes, func(n int) float64 {
				out := make([]fleetview.Peer, n)
				for i := range out {
					out[i] = fleetview.Peer{Name: memberName(i), Zone: "zone-17", Incarnation: 1_800_000_000_000, Age: 812, Arrivals: 765, Servers: toldServers}
				}
				return asJSON(out)
			})},
	}, nil
}
