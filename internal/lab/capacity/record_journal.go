package capacity

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/journal/vfs"
)

// nothing is a journal's target where nothing is read.
type discardTarget struct{}

// Restore implements journal.Target.
func (discardTarget) Restore([]byte) error { return nil }

// Replay implements journal.Target.
func (discardTarget) Replay(uint64, []byte) error { return nil }

func purgeEvent(n int) recovery.Event {
	at := 1.8e12 + float64(n)
	return recovery.Event{At: at, Purge: &recovery.Purge{Object: objectName(n), IssuedAt: at, NotifiedAt: at}}
}

// journalled is how many bytes a journal holds after so many purges, each synced on its own.
func journalSize(purges int) (float64, error) {
	disk := vfs.NewSim(1 << 30)
	j, err := journal.Open("state", journal.Options{FS: disk, Clock: clock.System()}, discardTarget{})
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
	names, err := disk.List("state")
	if err != nil {
		return 0, err
	}
	total := 0
	for _, name := range names {
		total += len(disk.Contents("state/" + name))
	}
	return float64(total), nil
}

func recordJournal() ([]Recording, error) {
	var points []Point
	for _, n := range []int{100, 300, 1000, 3000} {
		bytes, err := journalSize(n)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{float64(n), bytes})
	}
	state := func(n int) *recovery.State {
		s := recovery.NewState()
		for i := range n {
			s.Apply(purgeEvent(i))
		}
		return s
	}
	return []Recording{
		{Name: "journal/purges", Role: Proxy, Driver: "purges", Quantity: "the journal on disk", Unit: "bytes", Points: points},
		{Name: "journal/memory", Role: Proxy, Driver: "purges", Quantity: "memory of what the journal adds up to", Unit: "bytes",
			Points: measureSizes(defaultSizes, func(n int) float64 { return heapBytes(func() any { return state(n) }) })},
		{Name: "journal/purge", Role: Proxy, Driver: "purges", Quantity: "processor of writing and taking in one purge, without the disk", Unit: "us",
			Points: measureSizes(defaultSizes, func(n int) float64 {
				s := state(n)
				return cpuCost(func(i int) {
					e := purgeEvent(i % n)
					if _, err := e.Encode(); err != nil {
						panic(err) // of plain values
					}
					s.Apply(e)
				})
			})},
	}, nil
}
