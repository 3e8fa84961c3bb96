package capacity

import (
	"fmt"
	"strings"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
)

// generatedAt is the Unix time in ms at which generated changes are proposed.
const generatedAt = 1.8e12

// purgeLifetimeMs keeps generated purges in effect for as long as a recording takes.
const purgeLifetimeMs = 1e9

// encodedChanges is the number of changes that applyCost encodes before it measures.
const encodedChanges = 64

// Sizes that are smaller than defaultSizes, for parts of the state that are short or few.
var (
	nameSizes     = []int{10, 30, 100, 300} // bytes of an object's name
	revisionSizes = []int{3, 10, 30, 100}   // number of revisions
)

// changeID is an id of the same length as the store's ids.
func changeID(n int) string { return fmt.Sprintf("%032x", n) }

// purgeChange is a purge as the store proposes it.
func purgeChange(n int, object string) storestate.Change {
	at := generatedAt + float64(n)
	return storestate.Change{
		ID: changeID(n), ProposedAt: at, Kind: storestate.AddPurge, ExpiresAt: at + purgeLifetimeMs,
		Purge: &storestate.Purge{Object: object, IssuedAt: at},
	}
}

// listChange sets a server list in which one server differs from the previous generation.
func listChange(generation, servers int) storestate.Change {
	list := newStoreList(servers)
	list.Generation = uint64(generation)
	list.Servers[changedServer(generation, servers)].Weight = float64(1 + generation%4)
	return storestate.Change{ID: changeID(generation), ProposedAt: generatedAt, Kind: storestate.SetList, Name: "servers", List: list}
}

func newStoreList(servers int) *storestate.List {
	list := &storestate.List{Generation: 1, Servers: make([]serverlist.Server, servers)}
	for n := range list.Servers {
		server := serverAt(n)
		list.Servers[n] = serverlist.Server{
			ID: server.ID, Host: serverHost(n), Port: serverPort, Addr: serverAddr(n), Zone: zoneName(server.Zone),
			Kind: "cache", Cell: server.Cell, Weight: server.Weight, StartedMs: generatedAt,
		}
	}
	return list
}

// stateWithPurges holds that many purges. The changes have no ids, so the state stores no results for them.
func stateWithPurges(purges int) *storestate.State {
	s := storestate.New()
	for n := range purges {
		change := purgeChange(n, objectName(n))
		change.ID = ""
		s.Apply(change)
	}
	return s
}

// stateWithResults holds the results of that many changes, and nothing else.
func stateWithResults(changes int) *storestate.State {
	s := storestate.New()
	for n := range changes {
		s.Apply(storestate.Change{ID: changeID(n), ProposedAt: generatedAt, Kind: storestate.EndDrain, Name: "none"})
	}
	return s
}

// stateWithList holds a list of that many servers.
func stateWithList(servers int) *storestate.State {
	s := storestate.New()
	change := listChange(1, servers)
	change.ID = ""
	s.Apply(change)
	return s
}

// stateWithRevisions applies that many revisions of revisionBytes each. The state retains the latest maxRevisions.
func stateWithRevisions(revisions int) *storestate.State {
	s := storestate.New()
	for n := range revisions {
		text := fmt.Sprintf("%0*d", revisionBytes, n)
		s.Apply(storestate.Change{ProposedAt: generatedAt, Kind: storestate.SetConfig, BaseRevision: uint64(n), Text: text, Author: "operator"})
	}
	return s
}

// applyCost is the CPU time in µs of decoding a purge and applying it to a state with that many purges.
func applyCost(purges int) float64 {
	s := stateWithPurges(purges)
	var encoded [][]byte
	for i := range encodedChanges {
		encoded = append(encoded, mustEncode(purgeChange(i%purges, objectName(i%purges))))
	}
	return cpuCost(func(i int) {
		change := mustDecodeChange(encoded[i%len(encoded)])
		change.ID = "" // a change with an id is applied only once
		s.Apply(change)
	})
}

// listApplyCost is the CPU time in µs of decoding a server list and applying it.
func listApplyCost(servers int) float64 {
	s, generation := stateWithList(servers), 1
	encoded := mustEncode(listChange(1, servers))
	return cpuCost(func(int) {
		change := mustDecodeChange(encoded)
		generation++
		change.ID, change.List.Generation = "", uint64(generation)
		s.Apply(change)
	})
}

// snapshotWriteCost is the CPU time in µs of encoding a state with that many purges.
func snapshotWriteCost(purges int) float64 {
	s := stateWithPurges(purges)
	return cpuCost(func(int) { encodedSize(s) })
}

// snapshotReadCost is the CPU time in µs of decoding a state with that many purges.
func snapshotReadCost(purges int) float64 {
	encoded := mustEncode(stateWithPurges(purges))
	return cpuCost(func(int) {
		if _, err := storestate.DecodeState(encoded); err != nil {
			panic(fmt.Sprintf("capacity: decoding an encoded state: %v", err))
		}
	})
}

// stateRecording is a recording of the store's state. Its name begins with "replica/".
func stateRecording(name, driver, quantity, unit string, points []Point) Recording {
	return Recording{Name: "replica/" + name, Role: Voter, Driver: driver, Quantity: quantity, Unit: unit, Points: points}
}

// measureSnapshot measures the encoded size of the states that build returns.
func measureSnapshot(sizes []int, build func(n int) *storestate.State) []Point {
	return measureSizes(sizes, func(n int) float64 { return encodedSize(build(n)) })
}

func recordStoreState() ([]Recording, error) {
	revisionMemory := func(n int) float64 { return heapBytes(func() any { return stateWithRevisions(n) }) }
	purgeEntrySize := func(n int) float64 { return encodedSize(purgeChange(1, strings.Repeat("a", n))) }
	listEntrySize := func(n int) float64 { return encodedSize(listChange(1, n)) }
	return []Recording{
		stateRecording("purge-memory", "purges", "memory of the state", "bytes", measureHeap(stateWithPurges)),
		stateRecording("purge-snapshot", "purges", "snapshot", "bytes", measureSnapshot(defaultSizes, stateWithPurges)),
		stateRecording("purge-apply", "purges", "processor of reading and taking in one purge", "us", measureSizes(defaultSizes, applyCost)),
		stateRecording("purge-entry", "bytes of the name", "one purge in the log", "bytes", measureSizes(nameSizes, purgeEntrySize)),
		stateRecording("results-memory", "changes", "memory of the results of changes, kept for 10 minutes", "bytes",
			measureHeap(stateWithResults)),
		stateRecording("results-snapshot", "changes", "snapshot of the results of changes", "bytes",
			measureSnapshot(defaultSizes, stateWithResults)),
		stateRecording("list-memory", "servers", "memory of the state", "bytes", measureHeap(stateWithList)),
		stateRecording("list-entry", "servers", "a change of one server in the log, which holds the whole list", "bytes",
			measureSizes(defaultSizes, listEntrySize)),
		stateRecording("list-apply", "servers", "processor of reading and taking in such a change", "us",
			measureSizes(defaultSizes, listApplyCost)),
		stateRecording("revision-memory", "revisions", "memory of the state, each of 4,096 bytes", "bytes",
			measureSizes(revisionSizes, revisionMemory)),
		stateRecording("revision-snapshot", "revisions", "snapshot, each of 4,096 bytes", "bytes",
			measureSnapshot(revisionSizes, stateWithRevisions)),
		stateRecording("snapshot-write", "purges", "processor of writing the snapshot", "us", measureSizes(defaultSizes, snapshotWriteCost)),
		stateRecording("snapshot-read", "purges", "processor of reading the snapshot", "us", measureSizes(defaultSizes, snapshotReadCost)),
	}, nil
}
