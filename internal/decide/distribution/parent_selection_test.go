package distribution_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/distribution"
)

func drawPeer(t *rapid.T, name string) distribution.Peer {
	draw := func(of string) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, of) }
	return distribution.Peer{Name: name, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Region: draw("region"), Zone: draw("zone"), Site: draw("site")}
}

// Whichever of its candidates each process subscribes to, there must be no cycle, and each chain must end at the store. Processes in a
// cycle would get no entries.
func TestSubscriptionsFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []distribution.Peer{{Name: "store"}}
		for i := range rapid.IntRange(1, 25).Draw(t, "peers") {
			peers = append(peers, drawPeer(t, fmt.Sprint("p", i)))
		}
		chosen := map[string]distribution.Peer{}
		for _, p := range peers {
			order := distribution.OrderParents(p, peers)
			if p.Rank > 0 {
				require.NotEmpty(t, order)
				chosen[p.Name] = rapid.SampledFrom(order).Draw(t, "chosen")
			} else {
				require.Empty(t, order)
			}
		}
		for _, p := range peers {
			for steps := 0; p.Rank > 0; steps++ {
				require.Less(t, chosen[p.Name].Rank, p.Rank)
				require.Less(t, steps, 4, "the chain does not end at the store")
				p = chosen[p.Name]
			}
		}
	})
}

// A distributor must reject a subscriber whose rank is not above its own, whatever the candidates of the subscriber were.
func TestDistributorRejectsWrongRank(t *testing.T) {
	d := distribution.NewDistributor(distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: "d", Rank: 2}))
	d.Handle(0, distribution.InstallSnapshot{Epoch: 1, Through: 1, Watermark: distribution.Watermark{Sequence: 1, At: 1}})
	for rank, subscribers := range map[int]int{1: 0, 2: 0, 3: 1} {
		d.Handle(1, distribution.Received{
			Link:    distribution.Link(rank),
			Message: distribution.Subscribe{Stream: distribution.Purges, Name: fmt.Sprint(rank), Rank: rank, Credit: 1000},
		})
		if rank == 3 {
			require.Equal(t, subscribers, d.Subscribers())
		}
	}
	require.Equal(t, 1, d.Subscribers())
}

func TestOrderParentsPrefersCloser(t *testing.T) {
	self := distribution.Peer{Name: "self", Rank: 3, Region: "r", Zone: "z", Site: "s"}
	peers := []distribution.Peer{
		{Name: "other region", Rank: 2, Region: "q", Zone: "y", Site: "t"},
		{Name: "store", Rank: 0, Region: "r", Zone: "z", Site: "s"},
		{Name: "region", Rank: 1, Region: "r", Zone: "y", Site: "t"},
		{Name: "other zone", Rank: 2, Region: "r", Zone: "x", Site: "t"},
		{Name: "zone", Rank: 2, Region: "r", Zone: "z", Site: "t"},
		{Name: "site", Rank: 2, Region: "r", Zone: "z", Site: "s"},
		{Name: "same rank", Rank: 3, Region: "r", Zone: "z", Site: "s"},
	}
	var order []string
	for _, p := range distribution.OrderParents(self, peers) {
		order = append(order, p.Name)
	}
	require.Equal(t, []string{"site", "zone", "other zone", "region", "store", "other region"}, order)
}

// The loss of one of a zone's distributors must move only its own subscribers, and spread them over the others.
func TestLostDistributorMovesOnlyItsOwnSubscribers(t *testing.T) {
	var peers []distribution.Peer
	for i := range 6 {
		peers = append(peers, distribution.Peer{Name: fmt.Sprint("d", i), Rank: 2, Region: "r", Zone: "z"})
	}
	movedTo, affected := map[string]int{}, 0
	for i := range 600 {
		self := distribution.Peer{Name: fmt.Sprint("proxy", i), Rank: 3, Region: "r", Zone: "z"}
		before, after := distribution.OrderParents(self, peers)[0], distribution.OrderParents(self, peers[1:])[0]
		if before.Name == "d0" {
			affected++
			movedTo[after.Name]++
			continue
		}
		require.Equal(t, before, after)
	}
	require.Len(t, movedTo, 5)
	for name, n := range movedTo {
		require.Less(t, n, affected/2, name)
	}
}
