package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

func play(t testing.TB, s Spec, seed uint64) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, seed)
	require.NoError(t, err)
	return r
}

// Equal seeds give equal results to the byte, whatever runs beside them; other seeds give others.
func TestDeterministic(t *testing.T) {
	s := Default()
	s.Seconds = 8
	s.Troubles = []Trouble{{At: 2, For: 2, Kind: "hang", Size: 0.3}, {At: 3, For: 2, Kind: "branch_lost"}, {At: 4, Kind: "purge", Size: 0.4}}
	want, err := json.Marshal(play(t, s, 1))
	require.NoError(t, err)
	out := make(chan []byte, 4)
	for range 4 {
		go func() {
			raw, _ := json.Marshal(play(t, s, 1))
			out <- raw
		}()
	}
	for range 4 {
		require.JSONEq(t, string(want), string(<-out))
	}
	other, err := json.Marshal(play(t, s, 2))
	require.NoError(t, err)
	require.NotEqual(t, want, other)
}

// On a calm day nearly all is served, no rule is broken, and every want ends.
func TestCalm(t *testing.T) {
	s := Default()
	s.Seconds = 15
	r := play(t, s, 1)
	require.Zero(t, r.Broken, "%v", r.Rules)
	require.Greater(t, r.Worth, 0.9, "%+v", r)
	for _, c := range r.Classes {
		require.Equal(t, c.Wants, c.Served+c.Lost, c.Name)
	}
	t.Logf("worth %.3f, hits %.2f, %.2f attempts a try, %d events", r.Worth, r.HitShare, r.Attempts, r.Events)
}

// A warm-up is played and not counted, and what comes after it meets stores that hold what is asked for.
func TestWarmup(t *testing.T) {
	s := Default()
	s.Seconds = 10
	cold := play(t, s, 1)
	s.Warmup = 60
	s.Troubles = []Trouble{{At: 4, For: 2, Kind: "burst", Size: 3}}
	warm := play(t, s, 1)
	require.Greater(t, warm.HitShare, cold.HitShare+0.05)
	require.Less(t, warm.Windows[2].Wants, 230)
	require.Greater(t, warm.Windows[5].Wants, 350, "troubles are counted from the warm-up's end")
	for _, c := range warm.Classes {
		require.Equal(t, c.Wants, c.Served+c.Lost, c.Name)
	}
}

// Every trouble alone: no rule of the module's is broken, and every want ends.
func TestTroubles(t *testing.T) {
	for _, kind := range troubleKinds {
		s := Default()
		s.Seconds = 30
		s.Troubles = []Trouble{{At: 4, For: 8, Kind: kind, Size: map[string]float64{"burst": 2.4, "origin_slow": 3, "purge": 0.4}[kind]}}
		r := play(t, s, 3)
		require.Zero(t, r.Broken, "%s: %v", kind, r.Rules)
		for _, c := range r.Classes {
			require.Equal(t, c.Wants, c.Served+c.Lost, "%s %s", kind, c.Name)
		}
		t.Logf("%-13s worth %.3f, worst 10 s %.3f, %.2f tries, %.2f attempts, origin %d", kind, r.Worth, r.Worst10s, r.Tries, r.Attempts, r.Origin)
	}
}

// Of two events at one instant the one asked for first comes first, and time never goes back.
func TestQueue(t *testing.T) {
	q := &queue{}
	rng := stream(1, "q")
	var got []int
	for i := range 2000 {
		at := float64(rng.IntN(50))
		q.at(at, func() { got = append(got, int(at)*10_000+i) })
	}
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.f()
	}
	require.Len(t, got, 2000)
	require.IsIncreasing(t, got)
}

// A link shares fairly: against the sum that can be done by hand.
func TestLink(t *testing.T) {
	q := &queue{}
	l := &link{q: q, rate: 10, pace: 8}
	over := map[string]float64{}
	end := func(name string) func() { return func() { over[name] = q.now } }
	l.start(80, end("a"))                     // alone at 8: 16 left at 8 ms
	q.at(8, func() { l.start(30, end("b")) }) // 5 each: a over at 11.2, b has 14 left
	var c *transfer
	q.at(9, func() { c = l.start(1000, end("c")) })
	q.at(9, func() { c.stop() }) // gone at once
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.f()
	}
	require.InDelta(t, 11.2, over["a"], 1e-6)
	require.InDelta(t, 11.2+14/8.0, over["b"], 1e-6)
	require.NotContains(t, over, "c")
	// Late in the longest run, a day, a clock of float64 moves in steps; a transfer must end all the same.
	late := &queue{now: 8.64e7}
	n := 0
	l = &link{q: late, rate: 977, pace: 6}
	for i := range 500 {
		late.at(8.64e7+float64(i)*0.37, func() { l.start(0.1+float64(i%7)*3.3, func() { n++ }) })
	}
	for e, ok := late.next(); ok && late.done < 100_000; e, ok = late.next() {
		e.f()
	}
	require.Equal(t, 500, n)
	dead := &link{q: q}
	dead.start(1, func() { t.Error("a link of no capacity ended something") })
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.f()
	}
}

// The origin is an M/M/c queue: its mean wait against Erlang's formula (Kleinrock, Queueing Systems I, 3.36).
func TestErlang(t *testing.T) {
	const c, service, load = 8, 10.0, 0.8
	s := Default()
	s.Fleet.Origin, s.Fleet.OriginMs, s.Fleet.OriginLine = c, service, 1<<20
	w, err := newWorld(s, 1, Module)
	require.NoError(t, err)
	rng := stream(5, "arrivals")
	total, n := 0.0, 0
	var arrive func()
	arrive = func() {
		began := w.now
		w.line.ask(func(bool) { total, n = total+w.now-began, n+1 })
		if n < 200_000 {
			w.after(-math.Log(1-rng.Float64())*service/(c*load), arrive)
		}
	}
	arrive()
	for e, ok := w.next(); ok && n < 200_000; e, ok = w.next() {
		e.f()
	}
	a := c * load
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / c / (1 - load)
	wait := last / (sum + last) * service / (c * (1 - load))
	require.InEpsilon(t, service+wait, total/float64(n), 0.03)
}

// A store's hit ratio under independent requests against Che's approximation (Che, Tung, Wang, 2002).
func TestChe(t *testing.T) {
	const objects, room = 2000, 300
	weights := make([]float64, objects)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.8)
		total += weights[i]
	}
	a, rng, st := newAlias(weights), stream(3, "che"), newStore(room)
	hits, n := 0, 0
	for i := range 400_000 {
		k := key{object: int32(a.draw(rng))}
		hit := st.get(k, 0, 1) != nil
		if !hit {
			st.put(k, 1, 0, 1)
		}
		if i > 50_000 {
			if n++; hit {
				hits++
			}
		}
	}
	// The characteristic time at which the expected number held is the room.
	lo, hi := 0.0, 1e9
	for range 200 {
		mid, held := (lo+hi)/2, 0.0
		for _, w := range weights {
			held += 1 - math.Exp(-w/total*mid)
		}
		if held < room {
			lo = mid
		} else {
			hi = mid
		}
	}
	want := 0.0
	for _, w := range weights {
		want += w / total * (1 - math.Exp(-w/total*lo))
	}
	require.InEpsilon(t, want, float64(hits)/float64(n), 0.02)
}

// A higher rank pushes out a lower one and never the other way; a purge drops what is older.
func TestStore(t *testing.T) {
	s := newStore(3)
	for i := range int32(3) {
		require.True(t, s.put(key{object: i}, 1, 10, 2))
	}
	require.False(t, s.put(key{object: 9}, 1, 10, 1), "nothing of its rank is there to go")
	require.True(t, s.put(key{object: 8}, 1, 20, 3))
	require.Nil(t, s.get(key{object: 0}, 0, 0), "the one used longest ago went")
	s.purge(15, func(int32) bool { return true }, []int32{0, 1, 2, 8}, 1)
	require.NotNil(t, s.get(key{object: 8}, 0, 0))
	require.Equal(t, 1.0, s.used)
	require.Nil(t, s.get(key{object: 8}, 21, 0), "too old")
}

// Edges: one of everything, nothing that works, and files that can't be used.
func TestEdges(t *testing.T) {
	one := Default()
	one.Seconds, one.Fleet.Branches, one.Fleet.Caches, one.Fleet.Hubs, one.Fleet.Parents = 3, 1, 1, 1, 1
	require.Zero(t, play(t, one, 1).Broken)
	none := one
	none.Fleet.CacheLink, none.Fleet.BranchLink, none.Fleet.Origin, none.Fleet.OriginLine = 0, 0, 0, 0
	r := play(t, none, 1)
	require.Zero(t, r.Worth)
	require.Zero(t, r.Broken, "%v", r.Rules)
	for text, want := range map[string]string{
		`{"seconds": 0}`:                               "f:1:13: seconds 0 is not 0.1 to 80000",
		`{"fleet": {"branches": 0}}`:                   "f:1:24: branches 0 is not 1 to 10000",
		`{"fleet": {"brances": 3}}`:                    `f:1:12: unknown field "brances"; did you mean "branches"?`,
		`{"troubles": [{"at_s": 1, "kind": "quake"}]}`: `f:1:35: kind "quake" is none of burst, purge, hang, hang_parents, hub_lost, branch_lost, origin_slow, roll, empty, crash, proxy_roll, stale_list, heavy`,
		`{"traffic": {"classes": []}}`:                 "f:1:25: classes is empty\nf:1:25: no class has a share",
	} {
		_, bad := Parse("f", []byte(text))
		if text == `{"traffic": {"classes": []}}` {
			want = "f:1:25: classes is empty"
		}
		require.EqualError(t, bad.Err(), want, text)
	}
}

// The checkers see what is broken: each is shown something that is.
func TestCheckers(t *testing.T) {
	s := Default()
	w, err := newWorld(s, 9, Module)
	require.NoError(t, err)
	p, cache := w.proxies[0], w.branches[0].caches[0]
	x := &want{w: w, b: p.branch, rng: w.chance, no: 1, tries: 1}
	r := &request{id: "r", want: x, p: p, due: 100}
	x.try = r
	w.check.took(r)
	a := &attempt{r: r, to: cache, src: w.origin, made: 1}
	count := func(f func()) {
		t.Helper()
		before := w.check.count
		f()
		require.Equal(t, before+1, w.check.count)
	}
	w.check.told(p, []policy.Member{cache.member(policy.Draining)})
	w.check.sent(a)
	require.Zero(t, w.check.count, "within its grace")
	w.now = 2001
	count(func() { w.check.sent(a) })
	w.check.purgeTold(p, x.key.object, 5)
	a.sent = 3002
	count(func() { w.check.servedCopy(a) })
	a.made = 5
	w.check.servedCopy(a)
	w.check.ran(r)
	count(func() { w.check.ran(r) })
	count(func() { w.check.fell(cache) })
	r.answered = true
	count(func() { w.check.answered(r, served) })
	r.answered = false
	e, ok := w.next()
	require.True(t, ok)
	count(e.f)
	require.Contains(t, w.check.broken[0], "seed 9, 2001.000 ms: drain: proxy 0 uses s-00000004, told at 0.000 ms\n    0.000 ms: proxy 0 hears")
}

// BenchmarkScale is the cost of an event as the fleet grows from 10 caches to 2,000.
func BenchmarkScale(b *testing.B) {
	for _, branches := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("caches=%d", branches*10), func(b *testing.B) {
			s := Default()
			// As many hubs for each, as the module sorts all parents for every request, and as many requests.
			s.Fleet.Branches, s.Fleet.Caches, s.Fleet.Hubs = branches, 10, 2
			s.Fleet.Origin, s.Fleet.BranchLink, s.Fleet.ParentLink = 24*branches, 80, 30*float64(branches)
			s.Seconds = 3000.0 / float64(branches)
			events := uint64(0)
			for b.Loop() {
				events += play(b, s, 1).Events
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
