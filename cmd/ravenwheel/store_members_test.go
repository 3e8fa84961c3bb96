package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/state"
)

// Three proxies share one store: an operation at one is in force at all of them, survives SIGKILL, and is atomic.
func TestStoreMembersShareOperations(t *testing.T) {
	bin, dir := buildProgram(t), t.TempDir()
	run := func(args ...string) (string, int) {
		cmd := exec.Command(bin, args...)
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	ok := func(args ...string) string {
		t.Helper()
		out, code := run(args...)
		require.Zero(t, code, "%v: %s", args, out)
		return out
	}
	eventually := func(what string, f func() bool) {
		t.Helper()
		require.Eventually(t, f, time.Minute, 10*time.Millisecond, what)
	}
	names := []string{"a", "b", "c"}
	keys := filepath.Join(dir, "keys")
	ok(append([]string{"cluster", "keys", keys, "th"}, names...)...)
	list := filepath.Join(dir, "servers.jsonc")
	entries := []string{entryText(1, "127.0.0.1:2", `, "weight": 4`), entryText(10, "127.0.0.1:3", `, "weight": 4`), entryText(20, "127.0.0.1:4", `, "weight": 4`)}
	require.NoError(t, os.WriteFile(list, []byte(listText(1, entries)), 0o600))
	var peers []string
	addrs := map[string]string{}
	for _, n := range names {
		addrs[n] = freeAddr(t)
		peers = append(peers, fmt.Sprintf(`{"name": %q, "addr": %q}`, n, addrs[n]))
	}
	file := func(n string) string { return filepath.Join(dir, n+".jsonc") }
	procs := map[string]*exec.Cmd{}
	start := func(n string) {
		cmd := exec.Command(bin, "serve", "--operator", file(n))
		cmd.Stderr = os.Stderr
		require.NoError(t, cmd.Start())
		procs[n] = cmd
	}
	for _, n := range names {
		text := strings.Replace(operatorText, "127.0.0.1:1", freeAddr(t), 1)
		text = strings.Replace(text, `"servers": {`, fmt.Sprintf(`"admin": {"listen": "unix:%s/%s.sock"}, "state": {"dir": "state-%s"}, "log": {"level": "error"},
			"store": {"name": %q, "listen": %q, "dir": "store-%s", "identity": "keys", "peers": [%s]}, "servers": {`,
			dir, n, n, n, addrs[n], n, strings.Join(peers, ", ")), 1)
		require.NoError(t, os.WriteFile(file(n), []byte(text), 0o600))
		start(n)
	}
	defer func() {
		for _, p := range procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}()
	status := func(n string) string { out, _ := run("cluster", "status", "--operator", file(n)); return out }
	for _, n := range names {
		eventually(n+" knows a leader", func() bool {
			return strings.Contains(status(n), "c  "+addrs["c"]+"  votes") && !strings.Contains(status(n), "leader ,")
		})
	}

	// A revision is in force at all members; an invalid one is rejected with its line; a conflict is reported.
	rev := filepath.Join(dir, "rev.jsonc")
	put := func(text string) { require.NoError(t, os.WriteFile(rev, []byte(text), 0o600)) }
	put("{\"limits\": {\"requests\": 10}}\n")
	require.Equal(t, "revision 1\n", ok("config", "set", rev, "--operator", file("a")))
	for _, n := range names {
		eventually("revision 1 at "+n, func() bool {
			out, _ := run("config", "get", "--operator", file(n))
			return out == "// revision 1\n{\"limits\": {\"requests\": 10}}\n"
		})
	}
	put("{\"limits\": {\"requests\": 20}}\n")
	ok("config", "set", rev, "--operator", file("b"))
	out, code := run("config", "set", rev, "--base", "1", "--operator", file("c"))
	require.Equal(t, 1, code)
	require.Contains(t, out, "the configuration was changed since its base revision")
	put("{\"limits\": {\"requests\": 0}}\n")
	out, code = run("config", "set", rev, "--operator", file("a"))
	require.Equal(t, 1, code)
	require.Equal(t, rev+":1:25: requests 0 is not from 1 to 1048576\n", out)
	put("{\"site\": {}}\n")
	out, _ = run("config", "set", rev, "--operator", file("a"))
	require.Contains(t, out, "site can't be changed without a restart: set it in the operator's file")
	require.Equal(t, "revision 3\n", ok("config", "rollback", "1", "--operator", file("c")))
	eventually("history", func() bool {
		out, _ := run("config", "history", "--operator", file("a"))
		return strings.Count(out, "\n") == 3 && strings.Contains(out, "as 1")
	})

	// A manual drain, a purge and a list at one member are in force at all, also at one that was killed meanwhile.
	require.NoError(t, procs["c"].Process.Signal(syscall.SIGKILL))
	_ = procs["c"].Wait()
	eventually("a quorum without c", func() bool { // c may have been the leader
		_, code := run("servers", "drain", "s-00000001", "--operator", file("a"))
		return code == 0
	})
	ok("purge", "--group", "17", "--operator", file("b"))
	next := filepath.Join(dir, "next.jsonc")
	require.NoError(t, os.WriteFile(next, []byte(listText(1, append(entries, entryText(2, "127.0.0.1:5", `, "weight": 4`)))), 0o600))
	require.Equal(t, "generation 1, 4 servers\n", ok("servers", "push", next, "--operator", file("b")))
	start("c")
	for _, n := range names {
		eventually("the drain, the purge and the list are in force at "+n, func() bool {
			out, _ := run("servers", "show", "--operator", file(n))
			var st state.Status
			err := admin.Call("unix:"+dir+"/"+n+".sock", "/v1/state", nil, &st)
			return strings.Contains(out, "drained by hand") && strings.Contains(out, "127.0.0.1:5") && err == nil && st.Purges == 1
		})
	}
	// Only one process can use a state directory: a second one fails at once.
	out, code = run("state", "compact", filepath.Join(dir, "state-a"))
	require.Equal(t, 1, code)
	require.Contains(t, out, "in use by another process")
	// The leader is killed, and the others elect another one. Its state directory has the purge. Restarted, it receives the end of
	// the drain.
	lead := strings.TrimSuffix(strings.Fields(status("a")[strings.Index(status("a"), "leader ")+7:])[0], ",")
	require.NoError(t, procs[lead].Process.Signal(syscall.SIGKILL))
	_ = procs[lead].Wait()
	shown := ok("state", "show", filepath.Join(dir, "state-"+lead))
	require.Contains(t, shown, "group 17")
	other := names[0]
	if other == lead {
		other = names[1]
	}
	eventually("another member leads", func() bool {
		_, code := run("servers", "restore", "s-00000001", "--operator", file(other))
		return code == 0
	})
	start(lead)
	eventually("the server is restored at "+lead, func() bool {
		out, _ := run("servers", "show", "--operator", file(lead))
		return strings.Contains(out, "127.0.0.1:2  ") && !strings.Contains(out, "drained by hand")
	})
}
