package applier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/policy"
)

// heard keeps what facts come to, in order.
type heard struct{ all []any }

type took struct {
	source     string
	generation uint64
}

type drained struct {
	id policy.CacheID
	on bool
}

func (h *heard) RecordList(source string, set *serverlist.List) error {
	h.all = append(h.all, took{source, set.Generation})
	return nil
}

func (h *heard) RecordPurgeAsync(p recovery.Purge) { h.all = append(h.all, p) }

func options(h *heard) *applier.Options {
	return &applier.Options{
		Clock: clock.Manual(5000), Source: 1, Keeper: h,
		Entries: func(set *serverlist.List) []membership.Entry {
			out := make([]membership.Entry, len(set.Servers))
			for i, s := range set.Servers {
				if out[i].ID = s.ID; s.Zone != "here" {
					out[i].Zone = -1
				}
			}
			return out
		},
		Tell:    func(e membership.Event) { h.all = append(h.all, e) },
		Drained: func(id policy.CacheID, on bool) error { h.all = append(h.all, drained{id, on}); return nil },
		Purged:  func(p core.Purge) { h.all = append(h.all, p) },
	}
}

// Each fact comes into force once, in order: a list is kept before it is in force, a purge is in force before it is kept,
// and a kind that is no fact is passed over.
func TestTake(t *testing.T) {
	h := &heard{}
	o := options(h)
	in := make(chan storestate.Change, 8)
	for _, c := range []storestate.Change{
		{Kind: storestate.SetList, List: &storestate.List{Generation: 3, Servers: []serverlist.Server{{ID: 1, Zone: "here"}}}},
		{Kind: storestate.StartDrain, Name: serverlist.FormatID(1)}, {Kind: storestate.EndDrain, Name: serverlist.FormatID(1)},
		{Kind: storestate.StartDrain, Name: "no server's name"}, {Kind: storestate.SpendToken, Name: "a"},
		{Kind: storestate.AddPurge, Purge: &storestate.Purge{Object: "o", IssuedAt: 10}},
		{Kind: storestate.AddPurge, Purge: &storestate.Purge{Group: 4, IssuedAt: 11}},
	} {
		in <- c
	}
	close(in)
	o.Run(in)
	entry := membership.Entry{}
	entry.ID = 1
	require.Equal(t, []any{
		took{applier.ListSource, 3}, membership.Snapshot{Source: 1, Generation: 3, Entries: []membership.Entry{entry}},
		drained{1, true}, drained{1, false},
		core.Purge{Object: "o", Group: -1, At: 10}, recovery.Purge{Object: "o", IssuedAt: 10, NotifiedAt: 5000},
		core.Purge{Group: 4, At: 11}, recovery.Purge{Group: 4, IssuedAt: 11, NotifiedAt: 5000},
	}, h.all)
}

// A list with a server that is not of this site is not taken, not by half either.
func TestForeignList(t *testing.T) {
	h := &heard{}
	options(h).Take(storestate.Change{Kind: storestate.SetList, List: &storestate.List{Generation: 3, Servers: []serverlist.Server{
		{ID: 1, Zone: "here"}, {ID: 2, Zone: "elsewhere"},
	}}})
	require.Empty(t, h.all)
}

// Without a journal facts are in force all the same.
func TestNothingKept(t *testing.T) {
	h := &heard{}
	o := options(h)
	o.Keeper = nil
	o.Take(storestate.Change{Kind: storestate.AddPurge, Purge: &storestate.Purge{Object: "o", IssuedAt: 10}})
	require.Equal(t, []any{core.Purge{Object: "o", Group: -1, At: 10}}, h.all)
}
