package hollow

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

// checkerFixture returns a simulation in which n purges are committed, a proxy that has applied none, and the purges.
func checkerFixture(t *testing.T, n int) (*simulation, *process, []distribution.Entry) {
	t.Helper()
	s := DefaultScenario()
	s.GroupPurgeFraction = 0
	sim := newSimulation(s, s.minProcesses(), ModeLevels)
	sim.leader = sim.byRole[StoreMember][0]
	var entries []distribution.Entry
	for range n {
		entry := sim.log.newPurge(sim, sim.leader)
		sim.log.commit(0, entry)
		entries = append(entries, entry.streamEntry)
	}
	return sim, sim.byRole[Proxy][0], entries
}

// batchOf returns a batch with all of the given entries, which are the first of the stream.
func batchOf(entries []distribution.Entry) distribution.Apply {
	through := entries[len(entries)-1].Sequence
	return distribution.Apply{Epoch: 1, Through: through, Watermark: distribution.Watermark{Sequence: through, At: startUnixMs}, Entries: entries}
}

// Batches that together have all committed entries are accepted. So is a batch that omits an entry that a later one supersedes;
// the omitted entry counts as applied once the later one is.
func TestCheckerAcceptsCompleteBatches(t *testing.T) {
	sim, p, entries := checkerFixture(t, 20)
	firstBatch := batchOf(entries[:8])
	sim.checker.checkApply(p, purgeStream, firstBatch)
	secondBatch := batchOf(entries)
	secondBatch.After, secondBatch.Entries = firstBatch.Through, entries[8:]
	sim.checker.checkApply(p, purgeStream, secondBatch)
	sim.checker.checkComplete()
	require.Zero(t, sim.checker.violations-countOthersWithoutEntries(sim, p), "%v", sim.checker.violationTexts)

	sim, p, entries = checkerFixture(t, 20)
	superseding := sim.log.newPurge(sim, sim.leader)
	superseding.streamEntry.Name = entries[3].Name
	sim.log.commit(0, superseding)
	remaining := slices.Concat(entries[:3], entries[4:])
	batch := batchOf(remaining)
	batch.Watermark.Sequence = superseding.streamEntry.Sequence
	sim.checker.checkApply(p, purgeStream, batch)
	require.Zero(t, sim.checker.violations, "%v", sim.checker.violationTexts)
	require.Len(t, p.omitted, 1)
	sim.checker.checkApply(p, purgeStream, distribution.Apply{
		Epoch: 1, After: batch.Through, Through: superseding.streamEntry.Sequence, Watermark: distribution.Watermark{Sequence: superseding.streamEntry.Sequence, At: startUnixMs},
		Entries: []distribution.Entry{superseding.streamEntry},
	})
	require.Zero(t, sim.checker.violations, "%v", sim.checker.violationTexts)
	require.Empty(t, p.omitted)
}

// In a batch made of a snapshot it is enough that sequence numbers increase. Other batches must have the store's sequence numbers.
func TestCheckerAcceptsRenumberedSnapshot(t *testing.T) {
	sim, p, entries := checkerFixture(t, 9)
	batch := batchOf(entries)
	batch.Atomic, batch.Entries = true, slices.Clone(entries)
	for i := range batch.Entries {
		batch.Entries[i].Sequence = uint64(i + 1)
	}
	sim.checker.checkApply(p, purgeStream, batch)
	require.Zero(t, sim.checker.violations, "%v", sim.checker.violationTexts)
	require.Equal(t, 9, p.applied[purgeStream])
	batch.Atomic = false
	sim.checker.checkApply(sim.byRole[Proxy][1], purgeStream, batch)
	require.NotZero(t, sim.checker.violations, "a batch that is not made of a snapshot must have the store's sequence numbers")
}

// countOthersWithoutEntries counts the processes except p that have applied no purges. checkComplete reports a violation for each.
func countOthersWithoutEntries(sim *simulation, p *process) int {
	n := 0
	for _, other := range sim.processes {
		if other != p && other.role != StoreMember && other.applied[purgeStream] == 0 {
			n++
		}
	}
	return n
}

// breach breaks a rule of the checker at a process that has not yet applied any of the entries.
type breach func(sim *simulation, p *process, entries []distribution.Entry)

// unknownEntry returns an entry that was not committed, with the sequence number after the given one.
func unknownEntry(through uint64) distribution.Entry {
	return distribution.Entry{Sequence: through + 1, Kind: distribution.PurgeObject, Name: "x"}
}

var batchBreaches = map[string]breach{
	"missing entry": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		batch.Entries = slices.Concat(entries[:4], entries[5:])
		sim.checker.checkApply(p, purgeStream, batch)
	},
	"gap before the batch": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		batch.After, batch.Entries = entries[2].Sequence, entries[3:]
		sim.checker.checkApply(p, purgeStream, batch)
	},
	"changed name": func(sim *simulation, p *process, entries []distribution.Entry) {
		entries[4].Name += "x"
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
	},
	"earlier effective time": func(sim *simulation, p *process, entries []distribution.Entry) {
		entries[4].EffectiveAt--
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
	},
	"entries out of order": func(sim *simulation, p *process, entries []distribution.Entry) {
		entries[4], entries[5] = entries[5], entries[4]
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
	},
	"batch applied twice": func(sim *simulation, p *process, entries []distribution.Entry) {
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
	},
	"unknown entry": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		batch.Entries = append(slices.Clone(entries), unknownEntry(batch.Through))
		sim.checker.checkApply(p, purgeStream, batch)
	},
	"missing entry in an atomic batch": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		batch.Atomic, batch.Entries = true, entries[1:]
		sim.checker.checkApply(p, purgeStream, batch)
	},
	"unknown entry in an atomic batch": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		batch.Atomic, batch.Entries = true, append(slices.Clone(entries), unknownEntry(batch.Through))
		sim.checker.checkApply(p, purgeStream, batch)
	},
}

var snapshotBreaches = map[string]breach{
	"missing entry in a snapshot": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		sim.checker.checkSnapshot(p, purgeStream, distribution.InstallSnapshot{Epoch: 1, Through: batch.Through, Watermark: batch.Watermark, Entries: entries[1:]})
	},
	"unknown entry in a snapshot": func(sim *simulation, p *process, entries []distribution.Entry) {
		batch := batchOf(entries)
		unknown := unknownEntry(batch.Through)
		sim.checker.checkSnapshot(p, purgeStream, distribution.InstallSnapshot{
			Epoch: 1, Through: batch.Through, Watermark: batch.Watermark, Entries: append(slices.Clone(entries), unknown),
		})
	},
	"snapshot older than what was applied": func(sim *simulation, p *process, entries []distribution.Entry) {
		sim.checker.checkApply(p, purgeStream, batchOf(entries))
		older := batchOf(entries[:4])
		sim.checker.checkSnapshot(p, purgeStream, distribution.InstallSnapshot{
			Epoch: 1, Through: older.Through, Watermark: older.Watermark, Entries: older.Entries,
		})
	},
}

// requireViolations requires that the checker reports each breach.
func requireViolations(t *testing.T, breaches map[string]breach) {
	t.Helper()
	for name, breakRule := range breaches {
		sim, p, entries := checkerFixture(t, 9)
		breakRule(sim, p, entries)
		require.NotZero(t, sim.checker.violations, name)
	}
}

// A gap, and an entry that is missing, changed, unknown, repeated or out of order, are violations.
func TestCheckerReportsBatchViolations(t *testing.T) {
	requireViolations(t, batchBreaches)
}

// A snapshot that lacks an entry, has an unknown one, or is older than what was applied is a violation.
func TestCheckerReportsSnapshotViolations(t *testing.T) {
	requireViolations(t, snapshotBreaches)
}

// An omitted entry is a violation if the entry that supersedes it is never applied.
func TestCheckerReportsOmittedEntry(t *testing.T) {
	sim, p, entries := checkerFixture(t, 9)
	p.omitted = append(p.omitted, omittedEntry{purgeStream, 0, entries[1].Sequence})
	sim.checker.checkApply(p, purgeStream, distribution.Apply{Epoch: 1, Through: 0})
	for _, process := range sim.processes {
		process.applied[purgeStream] = len(entries)
	}
	sim.checker.checkComplete()
	require.NotZero(t, sim.checker.violations)
}

// A process that lags with its gate open is a violation. The gate of a process that starts is closed, which is no
// violation.
func TestCheckerReportsLagWithOpenGate(t *testing.T) {
	sim, p, _ := checkerFixture(t, 9)
	for _, process := range sim.processes {
		process.up = process == p
	}
	sim.now = sim.scenario.MaxLagMs + 1
	p.gates[purgeStream] = distribution.NewFreshnessGate(distribution.DefaultSettings(distribution.Purges, p.peer()))
	sim.checker.checkLag()
	require.Zero(t, sim.checker.violations, "the new gate of a process that starts must be closed")
	p.gates[purgeStream] = nil
	sim.checker.checkLag()
	require.NotZero(t, sim.checker.violations)
}

// A violation of the latency limit names the process, one of the traffic limit the phase. A higher rate of purges raises the
// traffic limit.
func TestLimitsAreReported(t *testing.T) {
	sim, p, entries := checkerFixture(t, 3)
	sim.now = warmUpMs + 9000
	for _, entry := range sim.log.streams[purgeStream] {
		entry.committedAt = warmUpMs
	}
	sim.checker.checkApply(p, purgeStream, batchOf(entries))
	r := &Result{Roles: map[string]int{"proxy": 1}, Phases: []Phase{
		{ToSeconds: 10, PurgeRateFactor: 1},
		{FromSeconds: 10, ToSeconds: 20, PurgeRateFactor: 10},
	}}
	r.Propagation[purgeStream] = sim.propagation(purgeStream)
	for i := range r.Phases {
		r.Phases[i].Traffic[Proxy] = RoleTraffic{Role: "proxy", InKBPerS: 100}
	}
	sim.checkLimits(r)
	require.Len(t, r.ViolationTexts, 2, "%v", r.ViolationTexts)
	require.Contains(t, r.ViolationTexts[0], "took 9000 ms to "+p.name)
	require.True(t, strings.Contains(r.ViolationTexts[1], "from 0.0 to 10.0 s"), "only the phase without the burst may exceed the limit, as the burst raises the limit tenfold: %v", r.ViolationTexts)
}

// A recording has a point for each size, in increasing order. Quantities with fewer than minPoints sizes are left out.
func TestRecordingsHaveAPointForEachSize(t *testing.T) {
	var runs []*Result
	for _, n := range []int{300, 100, 3000, 1000} {
		r := &Result{Name: "growth", Mode: ModeLevels, Processes: n, RoleCosts: []RoleCost{{Role: "proxy", InKBPerS: 5}}}
		runs = append(runs, r)
	}
	runs = append(runs, &Result{Mode: ModeDirect, Processes: 100})
	var out strings.Builder
	require.NoError(t, WriteRecordings(&out, "a machine", runs))
	var got Recordings
	require.NoError(t, json.Unmarshal([]byte(out.String()), &got))
	require.Len(t, got.Recordings, len(recordedQuantities)-1, "the quantity of ModeDirect, measured at one size, must be left out")
	for _, recording := range got.Recordings {
		if recording.Name == "scale/proxy-bytes-per-s" {
			require.Equal(t, []Point{{100, 5000}, {300, 5000}, {1000, 5000}, {3000, 5000}}, recording.Points)
		}
	}
}
