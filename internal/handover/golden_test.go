package handover

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/golden"
)

// goldenMessages are one of each kind as it is sent, and one with each field set.
var goldenMessages = map[string]message{
	"message-hello.json":      {Kind: "hello", Revision: 1},
	"message-take.json":       {Kind: "take"},
	"message-serves.json":     {Kind: "serves"},
	"message-state.json":      {Kind: "state", Revision: 1, Generation: 7, Out: []string{"s-00000001"}, Back: map[string]float64{"s-00000002": 1e12 + 0.5}, Epoch: 9e11},
	"message-state-none.json": {Kind: "state", Revision: 1, Generation: 7},
	"message-turn.json":       {Kind: "turn"},
	"message-turn-busy.json":  {Kind: "turn", Busy: true},
	"message-given.json":      {Kind: "given"},
	"message-revoked.json":    {Kind: "revoked"},
	"message-out.json":        {Kind: "out", ID: "s-00000003", On: true},
	"message-out-off.json":    {Kind: "out", ID: "s-00000003"},
	"message-full.json": {
		Kind: "state", Revision: 1, Generation: 7, Out: []string{"s-00000001"}, Back: map[string]float64{"s-00000002": 1e12}, Epoch: 9e11,
		ID: "s-00000003", On: true, Busy: true,
	},
}

// goldenPair are the two ends of a connection between processes.
func goldenPair(t *testing.T) (one, two *net.UnixConn) {
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: filepath.Join(t.TempDir(), "s")})
	require.NoError(t, err)
	defer ln.Close()
	one, err = net.DialUnix("unixpacket", nil, ln.Addr().(*net.UnixAddr))
	require.NoError(t, err)
	two, err = ln.AcceptUnix()
	require.NoError(t, err)
	t.Cleanup(func() { one.Close(); two.Close() })
	return one, two
}

// What is sent for each message, and what is read of it.
func TestGoldenMessages(t *testing.T) {
	from, to := goldenPair(t)
	packet := make([]byte, mostMessage)
	for name, m := range goldenMessages {
		require.NoError(t, send(from, m, nil))
		n, err := to.Read(packet)
		require.NoError(t, err)
		golden.Equal(t, name, packet[:n])
		_, err = from.Write(golden.Read(t, name))
		require.NoError(t, err)
		read, fds, err := receive(to)
		require.NoError(t, err)
		require.Empty(t, fds)
		require.Equal(t, m, read, name)
	}
}

// The record of an owner as it is kept, and read by the next one.
func TestGoldenRecord(t *testing.T) {
	for name, k := range map[string]kept{
		"record.json": {
			Generation: 7, Out: []string{"s-00000001", "s-00000002"}, Back: map[string]float64{"s-00000003": 1e12 + 0.5, "s-00000004": 1e12}, Epoch: 9e11,
		},
		"record-least.json": {Generation: 1},
	} {
		r := record{path: filepath.Join(t.TempDir(), "record.json"), clock: clock.Manual(0)}
		require.NoError(t, r.replaceFile(k))
		text, err := os.ReadFile(r.path)
		require.NoError(t, err)
		golden.Equal(t, name, text)
		var read kept
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &read))
		require.Equal(t, k, read)
	}
	r := record{path: filepath.Join("testdata", "golden", "record.json"), clock: clock.Manual(0)}
	require.NoError(t, r.load())
	require.EqualValues(t, 7, r.kept.Generation)
	require.Equal(t, []string{"s-00000001", "s-00000002"}, r.kept.Out)
	require.Len(t, r.back(), 2)
}
