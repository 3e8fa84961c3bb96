package discovery

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const purgeGrace = 1000

// fault is something that keeps a follower from hearing what is held, and how long after it what is held counts as notified.
type fault struct {
	name     string
	notified float64
	happens  func(w *world, step int) bool // false: there was nothing for it to happen to
}

// The faults. What was open says nothing more after any of them.
var faults = []fault{
	{"move", 4000, func(w *world, step int) bool {
		w.muteAll()
		w.tell(Move{Addr: fmt.Sprint("address ", step)})
		return true
	}},
	{"again", 4000, func(w *world, _ int) bool { w.muteAll(); w.tell(Move{Addr: w.f.addr}); return true }},
	{"break", 2000, func(w *world, _ int) bool { return w.breakAll() > 0 }},
	{"stop", 4000, func(w *world, _ int) bool { w.muteAll(); return true }},
}

// orders are all sequences of one to three faults.
func orders() (all [][]fault) {
	var extend func(so []fault)
	extend = func(so []fault) {
		if len(so) > 0 {
			all = append(all, append([]fault(nil), so...))
		}
		if len(so) == 3 {
			return
		}
		for _, f := range faults {
			extend(append(so, f))
		}
	}
	extend(nil)
	return all
}

// Discovery was moved three times in half a second, its board kept the first caller waiting, and a purge was heard 4.8 to 6.9 s
// after the last move where 5 s is all there is. Each fault was looked at by itself before, never several in a row. So here: every
// order of moves, reloads that name the same address, breaks and stops, some tens to 2,000 ms apart, and behind the last one two
// callers that are treated badly in every way that is known. What is held is heard within the time that the last fault leaves.
func TestEveryOrderOfFaults(t *testing.T) {
	const seeds = 12
	treatments := []treatment{well, mute, refused, brokenOff, unanswered, late, trickles, slowList}
	worst := map[string]float64{}
	for _, order := range orders() {
		for _, first := range treatments {
			for _, second := range treatments {
				for seed := range uint64(seeds) {
					rng := rand.New(rand.NewPCG(seed, 42))
					w := newWorld(Usual(seed, purgeGrace))
					w.tell(Start{Addr: "address"})
					w.run(2000 + 3000*rng.Float64())
					w.held = true
					names, last, began := []string{}, fault{}, 0.0
					for step, f := range order {
						if step > 0 {
							w.run(w.now + []float64{30, 200, 2000}[rng.IntN(3)]*rng.Float64())
						}
						before := w.callers
						w.callers = []treatment{first, second}
						if f.happens(w, step) {
							last, began = f, w.now
						} else {
							w.callers = before
						}
						names = append(names, f.name)
					}
					w.run(w.now + 10_000)
					took := w.heard - began
					require.LessOrEqual(t, took, last.notified+purgeGrace, "%s, callers %s and %s, seed %d: calls at %v",
						strings.Join(names, ", "), first.name, second.name, seed, w.calls)
					require.LessOrEqual(t, w.most, 3, "calls open at once")
					worst[last.name] = max(worst[last.name], took)
				}
			}
		}
	}
	t.Logf("the latest, in ms after the last fault: %v", worst)
}

// A board that is crowded says its first word after seconds to each who calls. It is heard over the first call, as that one is
// never given up for a later one, however many come beside it.
func TestCrowdedBoard(t *testing.T) {
	for seed := range uint64(50) {
		for _, wait := range []float64{1500, 2500, 4500, 8000} {
			w := newWorld(Usual(seed, purgeGrace))
			w.held = true
			crowded := treatment{word: wait}
			w.callers = []treatment{crowded, crowded, crowded, crowded, crowded, crowded, crowded, crowded}
			w.tell(Start{Addr: "address"})
			w.run(30_000)
			require.LessOrEqual(t, w.heard, wait, "seed %d", seed)
		}
	}
}

// A list of thousands of servers comes over four seconds, and then all is well. It is asked for once, as it comes in time at the
// pace of its bytes; one that stops on the way is not waited for.
func TestSlowListIsAskedForOnce(t *testing.T) {
	slow := treatment{bytes: 86_400, pace: 4000.0 / 86_400}
	for seed := range uint64(50) {
		w := newWorld(Usual(seed, purgeGrace))
		w.held = true
		w.callers = []treatment{slow, slow, slow, slow}
		w.tell(Start{Addr: "address"})
		w.run(30_000)
		require.LessOrEqual(t, w.heard, 4000.0)
		require.LessOrEqual(t, len(w.calls), 2, "one more at most, in the last two seconds")

		w = newWorld(Usual(seed, purgeGrace))
		w.held = true
		w.callers = []treatment{slow}
		w.tell(Start{Addr: "address"})
		w.at(1500, w.muteAll)
		w.run(30_000)
		require.LessOrEqual(t, w.heard, 5000.0, "stopped on the way")
	}
}

// A process starts in place of another one: what discovery holds counts as notified 2 s after it says that it is ready, which it
// may do at once. The first two callers are treated badly in every way.
func TestStartInPlaceOfAnother(t *testing.T) {
	for seed := range uint64(20) {
		set := Usual(seed, purgeGrace)
		set.NotifiedStarted = NotifiedReplaced
		for _, first := range []treatment{mute, refused, brokenOff, unanswered, late, trickles} {
			for _, second := range []treatment{mute, refused, brokenOff, unanswered, late, trickles} {
				w := newWorld(set)
				w.held = true
				w.callers = []treatment{first, second}
				w.tell(Start{Addr: "address"})
				w.run(10_000)
				require.LessOrEqual(t, w.heard, NotifiedReplaced+purgeGrace+0.0, "callers %s and %s", first.name, second.name)
			}
		}
		w := newWorld(set)
		w.callers = always(mute)
		w.tell(Start{Addr: "address"})
		w.run(10_000)
		require.InDelta(t, NotifiedReplaced+purgeGrace-set.Margin, w.overdue, 0.001)
	}
}

// A board stays mute, refuses or breaks off: the time by which all had to be heard is said once, and that it is over once it speaks.
func TestOverdue(t *testing.T) {
	for seed := range uint64(20) {
		for _, how := range []treatment{mute, refused, brokenOff} {
			w := newWorld(Usual(seed, purgeGrace))
			w.tell(Start{Addr: "address"})
			w.run(2500)
			lastWord := w.f.lastWord
			w.callers = always(how)
			w.muteAll()
			w.run(20_000)
			require.Equal(t, 1, w.overdues)
			if how.name != brokenOff.name {
				require.InDelta(t, lastWord+4000+purgeGrace-100, w.overdue, 0.001)
			} else {
				require.LessOrEqual(t, w.overdue, lastWord+4000+purgeGrace-100)
			}
			require.Zero(t, w.currents)
			w.callers = nil
			w.run(25_000)
			require.Equal(t, 1, w.overdues)
			require.Equal(t, 1, w.currents)
		}
	}
}

// fleetCalls plays so many followers by themselves and counts their calls in each 50 ms from a time on.
func fleetCalls(proxies int, from, to float64, play func(w *world)) (all, most int) {
	calls := map[int]int{}
	for seed := range proxies {
		w := newWorld(Usual(uint64(seed), purgeGrace))
		play(w)
		w.run(to)
		for _, at := range w.calls {
			if at >= from {
				calls[int(at)/50]++
			}
		}
	}
	for _, n := range calls {
		all, most = all+n, max(most, n)
	}
	return all, most
}

// always is a board that treats every caller so.
func always(t treatment) []treatment {
	list := make([]treatment, 1000)
	for i := range list {
		list[i] = t
	}
	return list
}

// A fleet whose board broke off dialled again every 100 ms, all in the same moment. Now the calls thin out and spread, from one
// proxy to hundreds, and one that hears again starts from the short pause.
func TestManyAskAgain(t *testing.T) {
	for _, proxies := range []int{1, 80, 400} {
		all, most := fleetCalls(proxies, 10_000, 40_000, func(w *world) {
			w.callers = always(refused)
			w.tell(Start{Addr: "address"})
		})
		require.InDelta(t, 30/1.6*float64(proxies), all, 5*float64(proxies)) // one in 1.6 s each
		require.LessOrEqual(t, most, 3+proxies/8, "of %d proxies in 50 ms", proxies)
	}
	for seed := range uint64(50) {
		w := newWorld(Usual(seed, purgeGrace))
		w.callers = always(refused)
		w.tell(Start{Addr: "address"})
		w.run(20_000)
		w.callers = nil
		w.run(30_000)
		broke, before := w.now, len(w.calls)
		w.breakAll()
		w.run(broke + 200)
		require.Greater(t, len(w.calls), before)
		require.LessOrEqual(t, w.calls[before], broke+150, "one that has heard again starts from the short pause")
	}
}

// All watches fall silent in one instant, and stay so: the calls of a fleet come spread, once in some seconds each, for as long
// as it lasts, and a frame that is a second late is no silence.
func TestAllFallSilent(t *testing.T) {
	const proxies, silent = 300, 3500.0
	silence := func(w *world) {
		w.tell(Start{Addr: "address"})
		w.run(silent)
		w.callers = always(mute)
		w.muteAll()
	}
	all, most := fleetCalls(proxies, silent, 20_000, silence)
	require.LessOrEqual(t, most, proxies/8, "in 50 ms")
	require.LessOrEqual(t, all, proxies*9, "in 16 s")
	early, _ := fleetCalls(proxies, 500, 3000+2000-1, silence)
	require.Zero(t, early, "a frame that is a second late is no silence")
	late, mostLate := fleetCalls(proxies, 13_000, 20_000, silence)
	require.LessOrEqual(t, late, proxies*7000/2000, "one in two seconds and more, each")
	require.LessOrEqual(t, mostLate, proxies/16)
}

// A healthy board costs one call, however long it is followed.
func TestOneCallWhileAllIsWell(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(Usual(seed, purgeGrace))
		w.tell(Start{Addr: "address"})
		w.run(60_000)
		w.tell(Move{Addr: "address"})
		w.run(120_000)
		require.Len(t, w.calls, 1)
		require.Equal(t, never, w.overdue)
	}
}

// Ten reloads in a row make ten calls at most, and one when they name the address of now.
func TestReloadsInARow(t *testing.T) {
	for seed := range uint64(20) {
		for _, same := range []bool{true, false} {
			w := newWorld(Usual(seed, purgeGrace))
			w.tell(Start{Addr: "address"})
			w.run(2000)
			for n := range 10 {
				addr := "address"
				if !same {
					addr = fmt.Sprint("address ", n)
				}
				w.tell(Move{Addr: addr})
				w.run(w.now + 20)
			}
			w.run(10_000)
			if same {
				require.Len(t, w.calls, 1)
			} else {
				require.Len(t, w.calls, 11)
			}
			require.Len(t, w.open, 1)
		}
	}
}
