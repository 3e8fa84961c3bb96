package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/user"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

// filled returns a value whose exported fields are set to distinct values, in the order of the fields.
func filled[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("text", *n))
	case reflect.Int, reflect.Int64, reflect.Int32:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("malformed").Convert(v.Type().Key()), value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	}
}

// runCommand runs a command, and returns its output and error.
func runCommand(cmd *cobra.Command, args ...string) string {
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(&out, "error:", err)
	}
	return out.String()
}

// The JSON of the admin address's answers, and the requests and the output of each command, match the golden files.
func TestGoldenAdminCommands(t *testing.T) {
	currentUser, err := user.Current()
	require.NoError(t, err)
	answers := map[string]any{
		"/v1/servers": filled[admin.ServersResponse](), "/v1/peers": filled[peers.Status](), "/v1/view": filled[admin.ViewResponse](),
		"/v1/distribution": filled[[]distribution.Status](), "/v1/config": filled[admin.ConfigResponse](),
	}
	for path, answer := range answers {
		raw, err := json.MarshalIndent(answer, "", " ")
		require.NoError(t, err)
		golden.Equal(t, strings.TrimPrefix(path, "/v1/")+"-answer.json", raw)
	}
	var out bytes.Buffer
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&out, "%s %s %s\n", r.Method, r.URL, strings.ReplaceAll(string(body), `"`+currentUser.Username+`"`, `"USER"`))
		if name := strings.TrimPrefix(r.URL.Path, "/v1/"); r.Method == http.MethodGet {
			_, _ = w.Write(golden.Read(t, name+"-answer.json"))
			return
		}
		switch r.URL.Path {
		case "/v1/drain":
			_, _ = w.Write(body)
		case "/v1/list":
			_, _ = io.WriteString(w, `{"generation":7,"servers":3}`)
		case "/v1/config":
			_, _ = io.WriteString(w, `{"revision":8}`)
		default:
			_, _ = io.WriteString(w, `{"purged_ms":9,"took_ms":1.5}`)
		}
	}))
	defer proxy.Close()
	addr := proxy.Listener.Addr().String()
	live := filepath.Join("testdata", "golden", "revision.jsonc")
	for _, c := range []struct {
		make func() *cobra.Command
		args string
	}{
		{serversCommand, "show"}, {serversCommand, "drain s-00000001"}, {serversCommand, "restore s-00000001"}, {serversCommand, "push " + live},
		{configCommand, "get"}, {configCommand, "history"}, {configCommand, "set " + live}, {configCommand, "set --base 3 " + live},
		{configCommand, "rollback 2"}, {configCommand, "rollback x"},
		{purgeCommand, "--object 7f3a9c21e0b4d655"}, {purgeCommand, "--group 17"},
		{peersCommand, "show"}, {peersCommand, "show --json"}, {peersCommand, "ping p2"}, {peersCommand, "forget p2"},
		{viewCommand, "show"}, {viewCommand, "show --json s-00000001"},
		{distributionCommand, "show"}, {distributionCommand, "show --json"}, {distributionCommand, "lag"}, {distributionCommand, "lag --json"},
	} {
		cmd := c.make()
		fmt.Fprintf(&out, "$ %s %s\n", cmd.Name(), c.args)
		out.WriteString(runCommand(cmd, append(strings.Fields(c.args), "--admin", addr)...))
		out.WriteByte('\n')
	}
	golden.Equal(t, "admin-commands.txt", out.Bytes())
}

// The commands that show and verify a state directory print what the golden file holds, as text and as JSON.
func TestGoldenState(t *testing.T) {
	const now = 1_764_576_000_000
	dir := filepath.Join(t.TempDir(), "state")
	recorder, _, err := state.Open(state.Options{Dir: dir, Clock: clock.Manual(now), Settings: recovery.Settings{
		PurgePropagation: 1e15, PurgeGrace: 1e15, GoneRetention: 1e15,
	}})
	require.NoError(t, err)
	files := []serverlist.File{{Name: "l", Data: golden.Read(t, "servers.jsonc")}}
	parsed, defects := serverlist.Parse(files, serverlist.Requirements{ParentKind: "parent", OriginKind: "origin", OriginRequired: true})
	require.NoError(t, defects.Err())
	list := parsed.Unresolved()
	require.NoError(t, recorder.RecordList("list", list))
	purge := recovery.Purge{Object: "7f3a9c21e0b4d655", IssuedAt: now - 5}
	purge.NotifiedAt = now - 4
	require.NoError(t, recorder.RecordPurge(purge))
	purge = recovery.Purge{Group: 17, IssuedAt: now - 3}
	purge.NotifiedAt = now - 2
	require.NoError(t, recorder.RecordPurge(purge))
	member := membership.Transition{}
	member.Member.ID, member.Member.Addr, member.Member.Zone, member.Member.Kind = 1, "10.1.0.9:4100", 2, 1
	member.Member.Cell, member.Member.Weight, member.Member.Started = 3, 9.5, 1000
	member.Member.State = policy.Draining
	member.To = membership.Draining
	recorder.RecordTransition(member)
	recorder.RecordRevision(6)
	require.NoError(t, recorder.Close())
	var out bytes.Buffer
	for _, args := range []string{"show", "show --json", "verify"} {
		fmt.Fprintf(&out, "$ state %s DIR\n", args)
		out.WriteString(strings.ReplaceAll(runCommand(stateCommand(), append(strings.Fields(args), dir)...), dir, "DIR"))
	}
	golden.Equal(t, "state.txt", out.Bytes())
}
