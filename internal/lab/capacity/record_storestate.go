package capacity

import (
	"fmt"
	"strings"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
)

// nameBytes and revisionBytes are assumed of the fleet: see assumptions.
const nameBytes, revisionBytes = 32, 4096

// changeID is as long as those that the store draws.
func changeID(n int) string { return fmt.Sprintf("%032x", n) }

// purgeChange is one purge as the store proposes it, and binds for long after the time at which a recording looks.
func purgeChange(n int, name string) storestate.Change {
	at := 1.8e12 + float64(n)
	return storestate.Change{ID: changeID(n), ProposedAt: at, Kind: storestate.AddPurge, ExpiresAt: at + 1e9, Purge: &storestate.Purge{Object: name, IssuedAt: at}}
}

// purgedState holds so many purges, and the results of none: what they cost is recorded apart.
func stateWithPurges(purges int) *storestate.State {
	s := storestate.New()
	for n := range purges {
		c := purgeChange(n, objectName(n))
		c.ID = ""
		s.Apply(c)
	}
	return s
}

// rememberingState holds nothing but the results of so many changes.
func stateWithResults(changes int) *storestate.State {
	s := storestate.New()
	for n := range changes {
		s.Apply(storestate.Change{ID: changeID(n), ProposedAt: 1.8e12, Kind: storestate.EndDrain, Name: "none"})
	}
	return s
}

func storeList(servers int) *storestate.List {
	list := &storestate.List{Generation: 1, Servers: make([]serverlist.Server, servers)}
	for n := range list.Servers {
		m := serverAt(n)
		list.Servers[n] = serverlist.Server{
			ID: m.ID, Host: serverAddr(n)[:len(serverAddr(n))-5], Port: 4100, Addr: serverAddr(n), Zone: fmt.Sprintf("zone-%02d", m.Zone),
			Kind: "cache", Cell: m.Cell, Weight: m.Weight, StartedMs: 1.8e12,
		}
	}
	return list
}

func listChange(generation, servers int) storestate.Change {
	list := storeList(servers)
	list.Generation = uint64(generation)
	list.Servers[generation*37%servers].Weight = float64(1 + generation%4)
	return storestate.Change{ID: changeID(generation), ProposedAt: 1.8e12, Kind: storestate.SetList, Name: "servers", List: list}
}

func stateWithList(servers int) *storestate.State {
	s := storestate.New()
	c := listChange(1, servers)
	c.ID = ""
	s.Apply(c)
	return s
}

func stateWithRevisions(revisions int) *storestate.State {
	s := storestate.New()
	for n := range revisions {
		text := fmt.Sprintf("%0*d", revisionBytes, n)
		s.Apply(storestate.Change{ProposedAt: 1.8e12, Kind: storestate.SetConfig, BaseRevision: uint64(n), Text: text, Author: "operator"})
	}
	return s
}

// encoded is how many bytes a change or a state comes to.
func encodedSize(v any) float64 {
	raw, err := storestate.Encode(v)
	if err != nil {
		panic(err) // of plain values
	}
	return float64(len(raw))
}

// taking is the processor of reading an entry of the log and taking it in.
func applyCost(s *storestate.State, change func(i int) storestate.Change) float64 {
	var raws [][]byte
	for i := range 64 {
		raw, err := storestate.Encode(change(i))
		if err != nil {
			panic(err) // of plain values
		}
		raws = append(raws, raw)
	}
	return cpuCost(func(i int) {
		c, err := storestate.DecodeChange(raws[i%len(raws)])
		if err != nil {
			panic(err) // it was written above
		}
		c.ID = "" // else the second time is none
		s.Apply(c)
	})
}

func recordStoreState() ([]Recording, error) {
	var out []Recording
	add := func(name, driver, quantity, unit string, sizes []int, measure func(n int) float64) {
		out = append(out, Recording{
			Name: "replica/" + name, Role: Voter, Driver: driver, Quantity: quantity, Unit: unit, Points: measureSizes(sizes, measure),
		})
	}
	state := func(make func(int) *storestate.State) func(int) float64 {
		return func(n int) float64 { return heapBytes(func() any { return make(n) }) }
	}
	whole := func(make func(int) *storestate.State) func(int) float64 {
		return func(n int) float64 { return encodedSize(make(n)) }
	}
	add("purge-memory", "purges", "memory of the state", "bytes", defaultSizes, state(stateWithPurges))
	add("purge-snapshot", "purges", "snapshot", "bytes", defaultSizes, whole(stateWithPurges))
	add("purge-apply", "purges", "processor of reading and taking in one purge", "us", defaultSizes, func(n int) float64 {
		return applyCost(stateWithPurges(n), func(i int) storestate.Change { return purgeChange(i%n, objectName(i%n)) })
	})
	add("purge-entry", "bytes of the name", "one purge in the log", "bytes", []int{10, 30, 100, 300}, func(n int) float64 {
		return encodedSize(purgeChange(1, strings.Repeat("a", n)))
	})
	add("results-memory", "changes", "memory of the results of changes, kept for 10 minutes", "bytes", defaultSizes, state(stateWithResults))
	add("results-snapshot", "changes", "snapshot of the results of changes", "bytes", defaultSizes, whole(stateWithResults))
	add("list-memory", "servers", "memory of the state", "bytes", defaultSizes, state(stateWithList))
	add("list-entry", "servers", "a change of one server in the log, which holds the whole list", "bytes", defaultSizes, func(n int) float64 {
		return encodedSize(listChange(1, n))
	})
	add("list-apply", "servers", "processor of reading and taking in such a change", "us", defaultSizes, func(n int) float64 {
		s, generation := stateWithList(n), 1
		raw, err := storestate.Encode(listChange(1, n))
		if err != nil {
			panic(err) // of plain values
		}
		return cpuCost(func(int) {
			c, err := storestate.DecodeChange(raw)
			if err != nil {
				panic(err) // it was written above
			}
			generation++
			c.ID, c.List.Generation = "", uint64(generation)
			s.Apply(c)
		})
	})
	add("revision-memory", "revisions", "memory of the state, each of 4,096 bytes", "bytes", []int{3, 10, 30, 100}, state(stateWithRevisions))
	add("revision-snapshot", "revisions", "snapshot, each of 4,096 bytes", "bytes", []int{3, 10, 30, 100}, whole(stateWithRevisions))
	add("snapshot-write", "purges", "processor of writing the snapshot", "us", defaultSizes, func(n int) float64 {
		s := stateWithPurges(n)
		return cpuCost(func(int) { encodedSize(s) })
	})
	add("snapshot-read", "purges", "processor of reading the snapshot", "us", defaultSizes, func(n int) float64 {
		raw, err := storestate.Encode(stateWithPurges(n))
		if err != nil {
			panic(err) // of plain values
		}
		return cpuCost(func(int) {
			if _, err := storestate.DecodeState(raw); err != nil {
				panic(err) // it was written above
			}
		})
	})
	return out, nil
}
