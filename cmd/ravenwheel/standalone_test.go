package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// Without the platform, the program does not start with an invalid list. With a valid one it starts, serves and shows its servers.
func TestStandaloneProxyServesFromList(t *testing.T) {
	bin, listen, cache := buildProgram(t), freeAddr(t), scenario.Listen(t)
	dir := t.TempDir()
	operator, list := filepath.Join(dir, "o.jsonc"), filepath.Join(dir, "servers.jsonc")
	sock := "unix:" + filepath.Join(dir, "admin.sock")
	text := strings.Replace(operatorText, "127.0.0.1:1", listen, 1)
	text = strings.Replace(text, `"servers": {`, fmt.Sprintf(`"admin": {"listen": %q},  "servers": {`, sock), 1)
	require.NoError(t, os.WriteFile(operator, []byte(text), 0o600))
	run := func(args ...string) (string, int) {
		cmd := exec.Command(bin, args...)
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	servers := []string{
		entryText(1, cache.Addr(), `, "weight": 4`), entryText(10, "127.0.0.1:2", `, "weight": 4`),
		entryText(20, "127.0.0.1:3", `, "weight": 4`),
	}
	broken := listText(1, append(servers, entryText(2, "127.0.0.1:3", `, "weight": 4`)))
	require.NoError(t, os.WriteFile(list, []byte(broken), 0o600))
	out, code := run("serve", "--operator", operator)
	require.Equal(t, 1, code)
	want := fmt.Sprintf("ravenwheel: %s:5:30: address 127.0.0.1:3 is also used by s-00000014 at %[1]s:4:1\n", list)
	require.Equal(t, want, out, "one line with the place of the defect")
	out, code = run("servers", "check", "--operator", operator, list, filepath.Join(dir, "none"))
	require.Equal(t, 1, code)
	require.Equal(t, 2, strings.Count(out, "\n"), out)
	out, code = run("config", "check", operator, list)
	require.Equal(t, 1, code)
	require.Contains(t, out, `o.jsonc: can be used, stands alone`)
	require.Contains(t, out, `servers.jsonc:1:2: unknown field "generation"`)

	next := filepath.Join(dir, "next.jsonc")
	require.NoError(t, os.WriteFile(list, []byte(listText(1, servers)), 0o600))
	require.NoError(t, os.WriteFile(next, []byte(listText(2, append(servers[:1:1], servers[2]))), 0o600))
	out, code = run("servers", "diff", "--operator", operator, list, next)
	require.Equal(t, "s-0000000a dropped: 127.0.0.1:2: drains, then is gone\n", out)
	require.Zero(t, code)

	var logs bytes.Buffer
	cmd := exec.Command(bin, "serve", "--operator", operator)
	cmd.Stderr = &logs
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	require.Eventually(t, func() bool {
		out, code = run("servers", "show", "--operator", operator)
		nc, err := net.Dial("tcp", listen)
		if err == nil {
			nc.Close()
		}
		return code == 0 && err == nil
	}, time.Minute, 20*time.Millisecond)
	require.Contains(t, out, "generation 1 in use")
	c := scenario.Dial(t, listen)
	ask := func(tag int, why string) {
		scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": c, "s": cache}, fmt.Sprintf(`
			c send RPC.CALL %d asset rid=%016x,budget=2500,obj=7f3a9c21e0b4d655,nth=0,batch=17
			s expect fetch * lane=asset,%s -
			s send $id served why=local,version=v1 BYTES
			c expect %d ok - BYTES`, tag, tag, why, tag))
	}
	ask(1, "*")
	require.NoError(t, os.Rename(next, list))
	require.Eventually(t, func() bool {
		out, _ = run("servers", "show", "--admin", sock)
		return strings.Contains(out, "generation 2 in use")
	}, time.Minute, 20*time.Millisecond)
	require.Regexp(t, `s-0000000a .* draining .* no longer listed`, out)
	out, code = run("purge", "--group", "17", "--admin", sock)
	require.Zero(t, code, out)
	ask(2, "*newer=*") // the purge is applied: an older copy is not accepted
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	ask(3, "*newer=*")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait(), logs.String())
	require.Contains(t, logs.String(), `"kind":"list","generation":2,`)
	out, code = run("servers", "show", "--admin", sock)
	require.Equal(t, 1, code)
	require.Equal(t, 1, strings.Count(out, "\n"), out)
}

// A server that the list or discovery drains or removes is draining, one that either adds is used, and the list has precedence on a
// server's properties.
func TestListAndDiscoveryAreMerged(t *testing.T) {
	clk := clock.Manual(1_764_576_000_000)
	dir := t.TempDir()
	path := filepath.Join(dir, "servers.jsonc")
	put := func(text string) {
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	server := func(id policy.ServerID) string {
		return entryText(id, fmt.Sprintf("127.0.0.%d:9", id), `, "weight": 4`)
	}
	put(listText(1, []string{server(1), server(20)}))
	o, err := config.ParseOperatorFile(filepath.Join(dir, "o.jsonc"), []byte(`{"servers": {"path": "servers.jsonc", "quiet_ms": 30, "most_dropped": 1}}`))
	require.NoError(t, err)
	ln := listenDiscovery(t)
	member := func(id policy.ServerID, state policy.State) core.Member {
		m := core.Member{Addr: fmt.Sprintf("127.0.0.%d:9", id)}
		m.ID, m.Zone, m.State, m.Weight = id, 1, state, 9
		return m
	}
	conf := &config.Config{
		DiscoveryAddr: ln.Addr().String(), Names: discoveryclient.Names{Zones: []string{"hub", "east"}, Kinds: []string{"small", "parent", "origin"}},
		Classes: []string{"a"}, InitialRevision: 1,
		Settings:      policy.Settings{Zone: 1, ParentKind: 1, OriginKind: 2, ZoneRouters: []int{0, 1}, Classes: []policy.Class{{Deadline: time.Second}}},
		InitialEvents: []discoveryclient.Event{{Revision: 1, Complete: true, Members: []core.Member{member(1, policy.Ready), member(2, policy.Ready)}}},
	}
	c, err := core.New(conf.Settings, conf.Classes, 0, 7, clk, upstream.New(clk, upstream.Limits{}))
	require.NoError(t, err)
	src, err := startSources(environment{file: o, conf: conf, clock: clk}, c, sharedState{}, sourceOptions{})
	require.NoError(t, err)
	t.Cleanup(src.close)
	phases := func() string {
		views, _ := src.registry.Servers()
		var out []string
		for _, v := range views {
			if v.Phase != membership.Gone {
				out = append(out, fmt.Sprintf("%d:%v*%v", v.Member.ID, v.Phase, v.Member.Weight))
			}
		}
		return strings.Join(out, " ")
	}
	becomes := func(want string) {
		t.Helper()
		require.Eventually(t, func() bool {
			clk.Advance(10)
			return phases() == want
		}, time.Minute, time.Millisecond, "%s, not %s", want, phases())
	}
	becomes("1:ready*4 2:ready*9 20:ready*4")
	nc, err := ln.Accept()
	require.NoError(t, err)
	_, err = nc.Write(append(make([]byte, 0), changesEvent(2, memberRecord(1, 1, "127.0.0.1:9"), memberRecord(3, 0, "127.0.0.3:9"))...))
	require.NoError(t, err)
	becomes("1:draining*4 2:ready*9 3:ready*9 20:ready*4")
	put(listText(2, []string{server(2), server(20)}))
	becomes("1:draining*9 2:ready*4 3:ready*9 20:ready*4")
	put(listText(2, []string{server(1), server(20)})) // a generation that is already used: the list in use stays
	// The list has removed server 1: discovery's word alone does not bring it back, a list that names it does.
	_, err = nc.Write(changesEvent(3, memberRecord(1, 0, "127.0.0.1:9"), memberRecord(3, 1, "127.0.0.3:9")))
	require.NoError(t, err)
	becomes("1:draining*9 2:ready*4 3:draining*9 20:ready*4")
	put(listText(3, []string{server(1), server(2), server(20)}))
	becomes("1:ready*4 2:ready*4 3:draining*9 20:ready*4")
}
