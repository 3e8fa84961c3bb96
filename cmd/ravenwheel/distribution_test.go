package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/state"
)

// distributionTree is a member of the store, a distributor below it and two subscribers, each a process of its own.
type distributionTree struct {
	t     *testing.T
	bin   string
	dir   string
	procs map[string]*exec.Cmd
}

const (
	fleetMember, fleetDistributor = "member", "level1"
	fleetFirst, fleetSecond       = "leaf1", "leaf2"
)

var (
	fleetLeaves = []string{fleetFirst, fleetSecond}
	fleetList   = []string{entryText(1, "127.0.0.1:2", `, "weight": 4`), entryText(10, "127.0.0.1:3", `, "weight": 4`), entryText(20, "127.0.0.1:4", `, "weight": 4`)}
)

func newDistributionTree(t *testing.T) *distributionTree {
	f := &distributionTree{t: t, bin: build(t), dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	names := append([]string{fleetMember, fleetDistributor}, fleetLeaves...)
	f.ok(append([]string{"cluster", "keys", filepath.Join(f.dir, "keys"), "th"}, names...)...)
	f.write("servers.jsonc", listText(1, fleetList))
	root, distributor, storeAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	at := func(name, addr string, rank int) string {
		return fmt.Sprintf(`{"name": %q, "addr": %q, "rank": %d, "zone": "east", "region": "th"}`, name, addr, rank)
	}
	below := func(name, more, upstream string) string {
		return fmt.Sprintf(`"distribution": {"name": %q, "identity": "keys", %s"zone": "east", "region": "th", "silent_ms": 1500,
			"upstream": [%s]}`, name, more, upstream)
	}
	parts := map[string]string{
		fleetMember: fmt.Sprintf(`"store": {"name": %q, "listen": %q, "dir": "store", "identity": "keys", "peers": [{"name": %[1]q, "addr": %[2]q}]},
			"distribution": {"epoch": 1, "listen": %[3]q}`, fleetMember, storeAddr, root),
		fleetDistributor: below(fleetDistributor, fmt.Sprintf(`"listen": %q, "rank": 1, `, distributor), at(fleetMember, root, 0)),
	}
	for _, n := range fleetLeaves {
		parts[n] = below(n, "", at(fleetMember, root, 0)+", "+at(fleetDistributor, distributor, 1))
	}
	t.Cleanup(func() {
		for _, p := range f.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	for _, n := range names {
		text := strings.Replace(operatorText, "127.0.0.1:1", freeAddr(t), 1)
		// Purges bind for longer than any of these tests takes: one that has ended is in no snapshot.
		text = strings.Replace(text, `"flow_kb_per_s"`, `"purge_takes_ms": 600000, "flow_kb_per_s"`, 1)
		text = strings.Replace(text, `"servers": {`, fmt.Sprintf(`"admin": {"listen": "unix:%s/%s.sock"}, "state": {"dir": "state-%s"},
			"log": {"level": "error"}, %s, "servers": {`, f.dir, n, n, parts[n]), 1)
		f.write(n+".jsonc", text)
	}
	f.ready()
	return f
}

func (f *distributionTree) write(file, text string) string {
	path := filepath.Join(f.dir, file)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *distributionTree) start(name string) {
	cmd := exec.Command(f.bin, "serve", "--operator", filepath.Join(f.dir, name+".jsonc"))
	cmd.Stderr = os.Stderr
	require.NoError(f.t, cmd.Start())
	f.procs[name] = cmd
}

func (f *distributionTree) run(args ...string) (string, int) {
	cmd := exec.Command(f.bin, args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *distributionTree) ok(args ...string) string {
	f.t.Helper()
	out, code := f.run(args...)
	require.Zero(f.t, code, "%v: %s", args, out)
	return out
}

func (f *distributionTree) sock(name string) string { return "unix:" + f.dir + "/" + name + ".sock" }

func (f *distributionTree) eventually(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, time.Minute, 20*time.Millisecond, what)
}

// streams is the status of a process's streams; nil while it does not answer.
func (f *distributionTree) streams(name string) (all []distribution.Status) {
	if admin.Call(f.sock(name), "/v1/distribution", nil, &all) != nil {
		return nil
	}
	return all
}

// from reports whether both streams of a process come from another one.
func (f *distributionTree) from(name, at string) bool {
	all := f.streams(name)
	return len(all) == 2 && all[0].Parent == at && all[1].Parent == at
}

func (f *distributionTree) purges(name string) int {
	var st state.Status
	if admin.Call(f.sock(name), "/v1/state", nil, &st) != nil {
		return -1
	}
	return st.Purges
}

// purge purges some objects at the member of the store, from one number on.
func (f *distributionTree) purge(from, n int) {
	f.t.Helper()
	for i := from; i < from+n; i++ {
		var out map[string]float64
		require.NoError(f.t, admin.Call(f.sock(fleetMember), "/v1/purge", admin.PurgeRequest{Object: fmt.Sprintf("%016x", i+1)}, &out))
	}
}

// ready starts one level after the other: a process whose distributor does not run yet subscribes at the member of the store, and looks for
// a nearer one only a minute later.
func (f *distributionTree) ready() {
	f.start(fleetMember)
	f.eventually("the member leads", func() bool {
		_, code := f.run("servers", "drain", "s-00000001", "--admin", f.sock(fleetMember))
		return code == 0
	})
	f.start(fleetDistributor)
	f.eventually("the distributor is subscribed", func() bool { return f.from(fleetDistributor, fleetMember) })
	for _, n := range fleetLeaves {
		f.start(n)
	}
	for _, n := range fleetLeaves {
		f.eventually(n+" is subscribed at the distributor", func() bool { return f.from(n, fleetDistributor) })
	}
}

// drains is how a server is shown that an operator drained. The reason behind it is not compared: a restarted process shows another
// one.
var drains = regexp.MustCompile(`s-00000001 .* draining `)

// restored ends the server's drain at the member, and waits until processes use it.
func (f *distributionTree) restored(names ...string) {
	f.t.Helper()
	f.ok("servers", "restore", "s-00000001", "--admin", f.sock(fleetMember))
	for _, n := range names {
		f.eventually("given back at "+n, func() bool {
			return givenBack.MatchString(f.ok("servers", "show", "--admin", f.sock(n)))
		})
	}
}

var givenBack = regexp.MustCompile(`s-00000001 .* ready `)

// has waits until processes have everything that the member has: so many purges, the drain and the pushed list, and both streams at
// the member's sequence.
func (f *distributionTree) has(purges int, addr string, names ...string) {
	f.t.Helper()
	for _, n := range append(names, fleetMember) {
		f.eventually(n+" has all", func() bool {
			out, _ := f.run("servers", "show", "--admin", f.sock(n))
			want, have := f.streams(fleetMember), f.streams(n)
			return f.purges(n) == purges && drains.MatchString(out) && strings.Contains(out, addr) &&
				len(want) == 2 && len(have) == 2 && have[0].Sequence >= want[0].Sequence && have[1].Sequence >= want[1].Sequence &&
				!have[0].Restricted && !have[1].Restricted
		})
	}
}

func (f *distributionTree) push(addr string) {
	f.t.Helper()
	next := f.write("next.jsonc", listText(1, append(fleetList[:3:3], entryText(2, addr, `, "weight": 4`))))
	require.Equal(f.t, "generation 1, 4 servers\n", f.ok("servers", "push", next, "--admin", f.sock(fleetMember)))
}

const (
	// beforeFault and afterFault purges make a burst in whose middle a distributor fails.
	beforeFault, afterFault = 20, 20
	burst                   = beforeFault + afterFault
)

// A distributor is killed in the middle of a burst: its subscribers move to the member of the store, and miss nothing. Restarted, it
// has everything, too. Operations of members are rejected elsewhere, and change nothing there.
func TestKilledDistributorLosesNothing(t *testing.T) {
	f := newDistributionTree(t)
	for _, args := range [][]string{
		{"purge", "--group", "17"}, {"servers", "drain", "s-0000000a"}, {"servers", "push", filepath.Join(f.dir, "servers.jsonc")},
	} {
		out, code := f.run(append(args, "--admin", f.sock(fleetFirst))...)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, "tell a member of the store")
	}
	require.Zero(t, f.purges(fleetFirst))
	out := f.ok("servers", "show", "--admin", f.sock(fleetFirst))
	require.NotRegexp(t, `s-0000000a .*drained by hand`, out)

	f.purge(0, beforeFault)
	p := f.procs[fleetDistributor]
	require.NoError(t, p.Process.Signal(syscall.SIGKILL))
	_ = p.Wait()
	f.purge(beforeFault, afterFault)
	f.push("127.0.0.1:5")
	f.has(burst, "127.0.0.1:5", fleetLeaves...)
	for _, n := range fleetLeaves {
		f.eventually(n+" is at the member", func() bool { return f.from(n, fleetMember) })
	}
	f.start(fleetDistributor)
	f.has(burst, "127.0.0.1:5", fleetDistributor)
	f.restored(fleetFirst, fleetSecond, fleetDistributor)
}

// A distributor is suspended in the middle of a burst, and resumed once its subscribers have left it: all have everything.
func TestSuspendedDistributorLosesNothing(t *testing.T) {
	f := newDistributionTree(t)
	f.purge(0, beforeFault)
	p := f.procs[fleetDistributor]
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP))
	f.purge(beforeFault, afterFault)
	f.push("127.0.0.1:5")
	f.has(burst, "127.0.0.1:5", fleetLeaves...)
	require.NoError(t, p.Process.Signal(syscall.SIGCONT))
	f.has(burst, "127.0.0.1:5", fleetDistributor)
	f.restored(fleetFirst, fleetSecond, fleetDistributor)
}

// The examples of the operators' page on distribution run as they stand.
func TestDistributionPageExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/distribution.md")
	require.NoError(t, err)
	f := newDistributionTree(t)
	f.purge(0, 1)
	f.push("127.0.0.1:5")
	f.has(1, "127.0.0.1:5", fleetDistributor, fleetFirst, fleetSecond)
	text := script(string(page))
	require.Equal(t, 8, strings.Count(text, "exec bash"), "the examples that the page has")
	scripts := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(scripts, "distribution.txt"), []byte(text), 0o600))
	testscript.Run(t, testscript.Params{Dir: scripts, Setup: func(e *testscript.Env) error {
		path := filepath.Dir(f.bin) + string(os.PathListSeparator) + os.Getenv("PATH")
		e.Vars = append(e.Vars, "PATH="+path, "MEMBER="+f.sock(fleetMember), "LEVEL="+f.sock(fleetDistributor), "LEAF="+f.sock(fleetFirst), "DIR="+f.dir)
		return nil
	}})
}

// After a start that failed, a distributor that sends is not blocked; of revisions the newest is kept.
func TestClosedSubscriberReleasesDistributor(t *testing.T) {
	s := sharedState{changes: make(chan storestate.Change, 1)}
	var o distribution.Options
	s.subscribe(&o)
	o.ApplyChange(storestate.Change{Name: "first"})
	waits := make(chan struct{})
	go func() {
		o.ApplyChange(storestate.Change{Name: "second"})
		close(waits)
	}()
	o.ApplyRevision(storestate.Revision{Number: 1})
	o.ApplyRevision(storestate.Revision{Number: 2})
	require.Equal(t, uint64(2), (<-s.revisions).Number)
	s.close()
	<-waits
	require.Equal(t, "first", (<-s.changes).Name)
}

// The descriptions of a stream's source and lag.
func TestStreamDescriptions(t *testing.T) {
	require.Equal(t, []string{"from the store", "not subscribed", "from d1"},
		[]string{describeSource(distribution.Status{Root: true}), describeSource(distribution.Status{}), describeSource(distribution.Status{Parent: "d1"})})
	require.Equal(t, []string{"not complete yet", "260 ms behind at most", "9000 ms behind at most, past its bound"},
		[]string{describeLag(distribution.Status{LagMs: -1}), describeLag(distribution.Status{LagMs: 260}), describeLag(distribution.Status{LagMs: 9000, Restricted: true})})
}
