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

// goldenMessages are messages of each kind with the fields that it uses, and one with all fields set.
var goldenMessages = map[string]message{
	"message-hello.json":  {Kind: kindHello, ProtocolVersion: 1},
	"message-take.json":   {Kind: kindTransferRequest},
	"message-serves.json": {Kind: kindServing},
	"message-state.json": {
		Kind: kindState, ProtocolVersion: 1, Generation: 7, Drained: []string{"s-00000001"},
		Restored: map[string]float64{"s-00000002": 1e12 + 0.5}, Epoch: 9e11,
	},
	"message-state-none.json": {Kind: kindState, ProtocolVersion: 1, Generation: 7},
	"message-turn.json":       {Kind: kindRejected},
	"message-turn-busy.json":  {Kind: kindRejected, Busy: true},
	"message-given.json":      {Kind: kindGrant},
	"message-revoked.json":    {Kind: kindRevoked},
	"message-out.json":        {Kind: kindDrain, ID: "s-00000003", Active: true},
	"message-out-off.json":    {Kind: kindDrain, ID: "s-00000003"},
	"message-full.json": {
		Kind: kindState, ProtocolVersion: 1, Generation: 7, Drained: []string{"s-00000001"},
		Restored: map[string]float64{"s-00000002": 1e12}, Epoch: 9e11,
		ID: "s-00000003", Active: true, Busy: true,
	},
}

// connectedPair returns the two ends of a connection as it is between two processes.
func connectedPair(t *testing.T) (client, server *net.UnixConn) {
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: filepath.Join(t.TempDir(), "s")})
	require.NoError(t, err)
	defer ln.Close()
	client, err = net.DialUnix("unixpacket", nil, ln.Addr().(*net.UnixAddr))
	require.NoError(t, err)
	server, err = ln.AcceptUnix()
	require.NoError(t, err)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Each message is sent as its golden file, and received from it.
func TestGoldenMessages(t *testing.T) {
	sender, receiver := connectedPair(t)
	packet := make([]byte, maxMessageSize)
	for name, m := range goldenMessages {
		require.NoError(t, send(sender, m, nil))
		n, err := receiver.Read(packet)
		require.NoError(t, err)
		golden.Equal(t, name, packet[:n])
		_, err = sender.Write(golden.Read(t, name))
		require.NoError(t, err)
		read, fds, err := receive(receiver)
		require.NoError(t, err)
		require.Empty(t, fds)
		require.Equal(t, m, read, name)
	}
}

// An owner's record is written as its golden file, and loaded from it.
func TestGoldenRecord(t *testing.T) {
	for name, stored := range map[string]ownerRecord{
		"record.json": {
			Generation: 7, Drained: []string{"s-00000001", "s-00000002"},
			Restored: map[string]float64{"s-00000003": 1e12 + 0.5, "s-00000004": 1e12}, Epoch: 9e11,
		},
		"record-least.json": {Generation: 1},
	} {
		r := record{path: filepath.Join(t.TempDir(), "record.json"), clock: clock.Manual(0)}
		require.NoError(t, r.replaceFile(stored))
		text, err := os.ReadFile(r.path)
		require.NoError(t, err)
		golden.Equal(t, name, text)
		var decoded ownerRecord
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, stored, decoded)
	}
	r := record{path: filepath.Join("testdata", "golden", "record.json"), clock: clock.Manual(0)}
	require.NoError(t, r.load())
	require.EqualValues(t, 7, r.current.Generation)
	require.Equal(t, []string{"s-00000001", "s-00000002"}, r.current.Drained)
	require.Len(t, r.restoredServers(), 2)
}
