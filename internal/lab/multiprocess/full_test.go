package multiprocess_test

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/policy"
)

// TestFull measures at the sizes that FIELD names ("make field"); it is no part of CI. Its figures go to
// docs/measurements/peers.md, with the conditions that the issue sets beside them; what is asserted is what must hold.
func TestFull(t *testing.T) {
	sizes := os.Getenv("FIELD")
	if sizes == "" {
		t.Skip("FIELD is not set")
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Run(text, func(t *testing.T) { full(t, n) })
	}
}

func full(t *testing.T, n int) {
	zones := max(2, n/25)
	f := start(t, multiprocess.Options{Seed: 7, Zones: zones, Processes: n / zones, Caches: 4, Parents: 4, Serve: 5, Fill: 20, Peers: true, Objects: 2000})
	within := func(what string, ps, alive []*multiprocess.Process) time.Duration {
		began := time.Now()
		var err error
		// Asked less often than elsewhere: hundreds that tell of hundreds are a load of their own.
		if !assert.Eventually(t, func() bool {
			err = multiprocess.Agree(ps, alive)
			return err == nil
		}, multiprocess.ReadyWithin, 500*time.Millisecond) {
			t.Fatal(err)
		}
		t.Logf("%d processes, %d zones: %s after %.1f s", len(f.Processes), zones, what, time.Since(began).Seconds())
		return time.Since(began)
	}
	within("all agree that all are there, once the last was ready,", f.Processes, f.Processes)

	// Ten requests a second at each process, for as long as it takes to see the rates level out.
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 10 })
	time.Sleep(settle)
	const span = 20.0
	one := traffic(t, f)
	var errors []float64
	for range 4 {
		time.Sleep(span / 4 * time.Second)
		errors = append(errors, viewErrors(t, f)...)
	}
	two := traffic(t, f)
	per := func(of func(spent) float64) float64 { return (of(two) - of(one)) / span / float64(len(f.Processes)) }
	slices.Sort(errors)
	good := 0
	for _, e := range errors {
		if e <= 0.2 {
			good++
		}
	}
	var rss []float64
	for _, p := range f.Processes {
		rss = append(rss, memory(t, p.Pid()))
	}
	slices.Sort(rss)
	t.Logf("a process: %.1f KB/s sent, of them digests %.1f, streams %.1f, and %.1f received; %.2f %% of a core in all; %.1f MB resident (median)",
		per(func(s spent) float64 { return s.sent })/1000, per(func(s spent) float64 { return s.digests })/1000,
		per(func(s spent) float64 { return s.streams })/1000, per(func(s spent) float64 { return s.received })/1000,
		100*per(func(s spent) float64 { return s.cpu }), rss[len(rss)/2])
	t.Logf("view of the caches of one's own zone against what the caches saw over the same 3 s: within 20 %% on %.0f %% of %d readings, median error %.2f, 95th percentile %.2f",
		100*float64(good)/float64(len(errors)), len(errors), errors[len(errors)/2], errors[len(errors)*95/100])

	var killed, left []*multiprocess.Process
	for i, p := range f.Processes {
		if i%3 == 0 {
			killed = append(killed, p)
		} else {
			left = append(left, p)
		}
	}
	f.Kill(killed...)
	within("a third was killed: all survivors agree on who is gone", left, left)
	require.NoError(t, f.Start(killed...))
	within("they are back: all agree", f.Processes, f.Processes)
	stop()
	require.Empty(t, f.Broken())
	for _, p := range left {
		require.Empty(t, f.Client(p).Violations())
	}
}

// settle is how long those that joined are given to have told everybody: a start asks for whole states three times.
const settle = 45 * time.Second

// spent is what all processes sent, received and computed so far: bytes, and seconds.
type spent struct{ sent, digests, streams, received, cpu float64 }

func traffic(t *testing.T, f *multiprocess.Field) (x spent) {
	for _, p := range f.Processes {
		s, err := p.Brief()
		require.NoError(t, err)
		x.sent += float64(s.SentBytes)
		x.digests += float64(s.DigestBytes)
		x.streams += float64(s.StreamBytes)
		x.received += float64(s.ReceivedBytes)
		x.cpu += processor(t, p.Pid())
	}
	return x
}

// processor is what a process has computed so far, in seconds.
func processor(t *testing.T, pid int) (seconds float64) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	require.NoError(t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	for _, i := range []int{11, 12} { // utime, stime in hundredths of a second
		ticks, err := strconv.ParseFloat(fields[i], 64)
		require.NoError(t, err)
		seconds += ticks / 100
	}
	return seconds
}

// memory is a process's resident set in MB.
func memory(t *testing.T, pid int) float64 {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	require.NoError(t, err)
	pages, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	require.NoError(t, err)
	return pages * float64(os.Getpagesize()) / 1e6
}

// viewErrors are by how much, as a share, one process of each zone is off about the load of each cache of its zone: the
// caches' own count of the three seconds before is the truth.
func viewErrors(t *testing.T, f *multiprocess.Field) (out []float64) {
	byZone := map[int]*multiprocess.Process{}
	for _, p := range f.Processes {
		byZone[p.Zone] = p
	}
	now := f.Clock.Now()
	truth := map[policy.CacheID]float64{}
	for _, s := range f.Fleet.Observations() {
		if s.At > now-3000 && !s.Probe {
			truth[s.Server] += 1.0 / 3
		}
	}
	for zone, p := range byZone {
		v, err := p.View("")
		require.NoError(t, err)
		said := map[string]float64{}
		for _, s := range v.Servers {
			said[s.ID] = s.Load.Value
		}
		for _, id := range f.Caches(zone) {
			out = append(out, math.Abs(said[serverlist.FormatID(id)]-truth[id])/max(truth[id], 1))
		}
	}
	return out
}

// TestFullOff is what a process costs at the same traffic without peers, at the sizes that FIELD_OFF names.
func TestFullOff(t *testing.T) {
	sizes := os.Getenv("FIELD_OFF")
	if sizes == "" {
		t.Skip("FIELD_OFF is not set")
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		zones := max(2, n/25)
		f := start(t, multiprocess.Options{Seed: 7, Zones: zones, Processes: n / zones, Caches: 4, Parents: 4, Serve: 5, Fill: 20, Objects: 2000})
		stop := f.Traffic(func(*multiprocess.Process) float64 { return 10 })
		time.Sleep(settle)
		const span = 20.0
		before, after, rss := 0.0, 0.0, []float64{}
		for _, p := range f.Processes {
			before += processor(t, p.Pid())
		}
		time.Sleep(span * time.Second)
		for _, p := range f.Processes {
			after += processor(t, p.Pid())
			rss = append(rss, memory(t, p.Pid()))
		}
		stop()
		slices.Sort(rss)
		t.Logf("%d processes without peers: %.2f %% of a core each; %.1f MB resident (median)", n, 100*(after-before)/span/float64(len(f.Processes)), rss[len(rss)/2])
	}
}
