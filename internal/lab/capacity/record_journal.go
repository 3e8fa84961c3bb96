package capacity

import (
	"fmt"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/journal/vfs"
)

// journalSizes are the numbers of purges at which the journal is measured. Each purge is synced separately.
var journalSizes = []int{100, 300, 1000, 3000}

// discardTarget ignores what a journal restores, as the journal is measured and not read.
type discardTarget struct{}

// Restore implements journal.Target.
func (discardTarget) Restore([]byte) error { return nil }

// Replay implements journal.Target.
func (discardTarget) Replay(uint64, []byte) error { return nil }

func purgeEvent(n int) recovery.Event {
	at := generatedAt + float64(n)
	return recovery.Event{At: at, Purge: &recovery.Purge{Object: objectName(n), IssuedAt: at, NotifiedAt: at}}
}

// journalSize is the size in bytes of a journal of that many purges.
func journalSize(purges int) (float64, error) {
	const dir = "state"
	disk := vfs.NewSim(1 << 30)
	j, err := journal.Open(dir, journal.Options{FS: disk, Clock: clock.System()}, discardTarget{})
	if err != nil {
		return 0, err
	}
	for n := range purges {
		raw, err := purgeEvent(n).Encode()
		if err != nil {
			return 0, err
		}
		if _, err := j.Append(raw); err != nil {
			return 0, err
		}
	}
	if err := j.Close(); err != nil {
		return 0, err
	}
	names, err := disk.List(dir)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, name := range names {
		total += len(disk.Contents(dir + "/" + name))
	}
	return float64(total), nil
}

// recoveryState is the state that a journal of that many purges restores.
func recoveryState(purges int) *recovery.State {
	s := recovery.NewState()
	for n := range purges {
		s.Apply(purgeEvent(n))
	}
	return s
}

// journalPurgeCost is the CPU time in µs of encoding a purge and applying it to a recovery state with that many purges.
func journalPurgeCost(purges int) float64 {
	s := recoveryState(purges)
	return cpuCost(func(i int) {
		event := purgeEvent(i % purges)
		if _, err := event.Encode(); err != nil {
			panic(fmt.Sprintf("capacity: encoding a generated event: %v", err))
		}
		s.Apply(event)
	})
}

func recordJournal() ([]Recording, error) {
	var points []Point
	for _, n := range journalSizes {
		size, err := journalSize(n)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), size})
	}
	return []Recording{
		{Name: "journal/purges", Role: Proxy, Driver: "purges", Quantity: "the journal on disk", Unit: "bytes", Points: points},
		{
			Name: "journal/memory", Role: Proxy, Driver: "purges", Quantity: "memory of what the journal adds up to", Unit: "bytes",
			Points: measureHeap(recoveryState),
		},
		{
			Name: "journal/purge", Role: Proxy, Driver: "purges", Unit: "us",
			Quantity: "processor of writing and taking in one purge, without the disk",
			Points:   measureSizes(defaultSizes, journalPurgeCost),
		},
	}, nil
}
