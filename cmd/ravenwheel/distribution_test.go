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
	"ravenwheel/internal/applier"
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
	memberName, distributorName = "member", "level1"
	firstLeaf, secondLeaf       = "leaf1", "leaf2"
)

var (
	leaves      = []string{firstLeaf, secondLeaf}
	treeServers = []string{entryText(1, "127.0.0.1:2", `, "weight": 4`), entryText(10, "127.0.0.1:3", `, "weight": 4`), entryText(20, "127.0.0.1:4", `, "weight": 4`)}
)

func newDistributionTree(t *testing.T) *distributionTree {
	f := &distributionTree{t: t, bin: buildProgram(t), dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	names := append([]string{memberName, distributorName}, leaves...)
	f.mustRun(append([]string{"cluster", "keys", filepath.Join(f.dir, "keys"), "th"}, names...)...)
	f.write("servers.jsonc", listText(1, treeServers))
	root, distributor, storeAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	candidate := func(name, addr string, rank int) string {
		return fmt.Sprintf(`{"name": %q, "addr": %q, "rank": %d, "zone": "east", "region": "th"}`, name, addr, rank)
	}
	subscriberSection := func(name, more, upstream string) string {
		return fmt.Sprintf(`"distribution": {"name": %q, "identity": "keys", %s"zone": "east", "region": "th", "silent_ms": 1500,
			"upstream": [%s]}`, name, more, upstream)
	}
	sections := map[string]string{
		memberName: fmt.Sprintf(`"store": {"name": %q, "listen": %q, "dir": "store", "identity": "keys", "peers": [{"name": %[1]q, "addr": %[2]q}]},
			"distribution": {"epoch": 1, "listen": %[3]q}`, memberName, storeAddr, root),
		distributorName: subscriberSection(distributorName, fmt.Sprintf(`"listen": %q, "rank": 1, `, distributor), candidate(memberName, root, 0)),
	}
	for _, n := range leaves {
		sections[n] = subscriberSection(n, "", candidate(memberName, root, 0)+", "+candidate(distributorName, distributor, 1))
	}
	t.Cleanup(func() {
		for _, p := range f.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	for _, n := range names {
		text := strings.Replace(operatorText, "127.0.0.1:1", freeAddr(t), 1)
		// Purges stay in force for longer than any of these tests takes, because snapshots do not contain purges that have ended.
		text = strings.Replace(text, `"flow_kb_per_s"`, `"purge_takes_ms": 600000, "flow_kb_per_s"`, 1)
		text = strings.Replace(text, `"servers": {`, fmt.Sprintf(`"admin": {"listen": "unix:%s/%s.sock"}, "state": {"dir": "state-%s"},
			"log": {"level": "error"}, %s, "servers": {`, f.dir, n, n, sections[n]), 1)
		f.write(n+".jsonc", text)
	}
	f.startAll()
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

func (f *distributionTree) mustRun(args ...string) string {
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

// streams returns the status of a process's streams, or nil if the process does not answer.
func (f *distributionTree) streams(name string) (all []distribution.Status) {
	if admin.Call(f.sock(name), "/v1/distribution", nil, &all) != nil {
		return nil
	}
	return all
}

// subscribesTo reports whether a process receives both streams from the given parent.
func (f *distributionTree) subscribesTo(name, at string) bool {
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

// purge purges n objects at the member of the store, starting with number from.
func (f *distributionTree) purge(from, n int) {
	f.t.Helper()
	for i := from; i < from+n; i++ {
		var out map[string]float64
		require.NoError(f.t, admin.Call(f.sock(memberName), "/v1/purge", admin.PurgeRequest{Object: fmt.Sprintf("%016x", i+1)}, &out))
	}
}

// startAll starts the processes one level after the other: a process whose distributor does not run yet would subscribe to the
// member of the store, and look for a nearer distributor only a minute later.
func (f *distributionTree) startAll() {
	f.start(memberName)
	f.eventually("the member is the leader", func() bool {
		_, code := f.run("servers", "drain", "s-00000001", "--admin", f.sock(memberName))
		return code == 0
	})
	f.start(distributorName)
	f.eventually("the distributor subscribes to the member", func() bool { return f.subscribesTo(distributorName, memberName) })
	for _, n := range leaves {
		f.start(n)
	}
	for _, n := range leaves {
		f.eventually(n+" subscribes to the distributor", func() bool { return f.subscribesTo(n, distributorName) })
	}
}

// drainingLine matches how servers show prints a server that an operator drains. The reason in the line is not compared, because a
// restarted process shows another one.
var drainingLine = regexp.MustCompile(`s-00000001 .* draining `)

// restoreAndAwait ends the server's drain at the member of the store, and waits until the named processes use the server.
func (f *distributionTree) restoreAndAwait(names ...string) {
	f.t.Helper()
	f.mustRun("servers", "restore", "s-00000001", "--admin", f.sock(memberName))
	for _, n := range names {
		f.eventually("the server is restored at "+n, func() bool {
			return readyLine.MatchString(f.mustRun("servers", "show", "--admin", f.sock(n)))
		})
	}
}

// readyLine matches how servers show prints the server once it is ready again.
var readyLine = regexp.MustCompile(`s-00000001 .* ready `)

// awaitContents waits until the named processes have everything that the member has: the given number of purges, the drain, the
// pushed list with an address, and both streams at the member's sequence.
func (f *distributionTree) awaitContents(purges int, addr string, names ...string) {
	f.t.Helper()
	for _, n := range append(names, memberName) {
		f.eventually(n+" has the member's contents", func() bool {
			out, _ := f.run("servers", "show", "--admin", f.sock(n))
			want, have := f.streams(memberName), f.streams(n)
			return f.purges(n) == purges && drainingLine.MatchString(out) && strings.Contains(out, addr) &&
				len(want) == 2 && len(have) == 2 && have[0].Sequence >= want[0].Sequence && have[1].Sequence >= want[1].Sequence &&
				!have[0].Restricted && !have[1].Restricted
		})
	}
}

func (f *distributionTree) push(addr string) {
	f.t.Helper()
	next := f.write("next.jsonc", listText(1, append(treeServers[:3:3], entryText(2, addr, `, "weight": 4`))))
	require.Equal(f.t, "generation 1, 4 servers\n", f.mustRun("servers", "push", next, "--admin", f.sock(memberName)))
}

const (
	// beforeFault and afterFault are the numbers of purges in a burst before and after a distributor fails.
	beforeFault, afterFault = 20, 20
	burst                   = beforeFault + afterFault
)

// A distributor is killed in the middle of a burst of purges: its subscribers move to the member of the store and miss nothing.
// After a restart, the distributor has everything too. A process that is not a member rejects operations of members, which change
// nothing there.
func TestKilledDistributorLosesNothing(t *testing.T) {
	f := newDistributionTree(t)
	for _, args := range [][]string{
		{"purge", "--group", "17"}, {"servers", "drain", "s-0000000a"}, {"servers", "push", filepath.Join(f.dir, "servers.jsonc")},
	} {
		out, code := f.run(append(args, "--admin", f.sock(firstLeaf))...)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, "tell a member of the store")
	}
	require.Zero(t, f.purges(firstLeaf))
	out := f.mustRun("servers", "show", "--admin", f.sock(firstLeaf))
	require.NotRegexp(t, `s-0000000a .*drained by hand`, out)

	f.purge(0, beforeFault)
	p := f.procs[distributorName]
	require.NoError(t, p.Process.Signal(syscall.SIGKILL))
	_ = p.Wait()
	f.purge(beforeFault, afterFault)
	f.push("127.0.0.1:5")
	f.awaitContents(burst, "127.0.0.1:5", leaves...)
	for _, n := range leaves {
		f.eventually(n+" subscribes to the member", func() bool { return f.subscribesTo(n, memberName) })
	}
	f.start(distributorName)
	f.awaitContents(burst, "127.0.0.1:5", distributorName)
	f.restoreAndAwait(firstLeaf, secondLeaf, distributorName)
}

// A distributor is suspended in the middle of a burst of purges, and resumed once its subscribers have everything from elsewhere:
// then the distributor has everything too.
func TestSuspendedDistributorLosesNothing(t *testing.T) {
	f := newDistributionTree(t)
	f.purge(0, beforeFault)
	p := f.procs[distributorName]
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP))
	f.purge(beforeFault, afterFault)
	f.push("127.0.0.1:5")
	f.awaitContents(burst, "127.0.0.1:5", leaves...)
	require.NoError(t, p.Process.Signal(syscall.SIGCONT))
	f.awaitContents(burst, "127.0.0.1:5", distributorName)
	f.restoreAndAwait(firstLeaf, secondLeaf, distributorName)
}

// The examples of the operators' page on distribution run as written, with the output that the page shows.
func TestDistributionPageExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/distribution.md")
	require.NoError(t, err)
	f := newDistributionTree(t)
	f.purge(0, 1)
	f.push("127.0.0.1:5")
	f.awaitContents(1, "127.0.0.1:5", distributorName, firstLeaf, secondLeaf)
	text := pageScript(string(page))
	require.Equal(t, 8, strings.Count(text, "exec bash"), "the number of examples on the page")
	scripts := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(scripts, "distribution.txt"), []byte(text), 0o600))
	testscript.Run(t, testscript.Params{Dir: scripts, Setup: func(e *testscript.Env) error {
		path := filepath.Dir(f.bin) + string(os.PathListSeparator) + os.Getenv("PATH")
		e.Vars = append(e.Vars, "PATH="+path, "MEMBER="+f.sock(memberName), "LEVEL="+f.sock(distributorName), "LEAF="+f.sock(firstLeaf), "DIR="+f.dir)
		return nil
	}})
}

// After a failed start, a distributor's change does not block. Of several revisions that wait, the newest is kept.
func TestClosedSubscriberReleasesDistributor(t *testing.T) {
	s := sharedState{changes: applier.NewQueue()}
	var o distribution.Options
	s.subscribe(&o)
	const changes = 5000
	sent := make(chan struct{})
	go func() {
		for range changes {
			o.ApplyChange(storestate.Change{Kind: storestate.AddPurge, Purge: &storestate.Purge{}})
		}
		close(sent)
	}()
	o.ApplyRevision(storestate.Revision{Number: 1})
	o.ApplyRevision(storestate.Revision{Number: 2})
	require.Equal(t, uint64(2), (<-s.revisions).Number)
	<-sent
	s.close()
}

// The commands describe a stream's source and lag.
func TestStreamDescriptions(t *testing.T) {
	require.Equal(t, []string{"from the store", "not subscribed", "from d1"},
		[]string{describeSource(distribution.Status{Root: true}), describeSource(distribution.Status{}), describeSource(distribution.Status{Parent: "d1"})})
	require.Equal(t, []string{"not complete yet", "260 ms behind at most", "9000 ms behind at most, past its bound"},
		[]string{describeLag(distribution.Status{LagMs: -1}), describeLag(distribution.Status{LagMs: 260}), describeLag(distribution.Status{LagMs: 9000, Restricted: true})})
}
