package snmp

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gosnmp/gosnmp"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
)

func startAgent(t *testing.T) (*gosnmp.GoSNMP, *core.Counters, []Scalar) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	var n core.Counters
	scalars := Scalars(&n, func() int64 { return 7 }, func() int64 { return 3 })
	go func() { _ = New("public", scalars).Serve(pc) }()
	t.Cleanup(func() { pc.Close() })
	c := &gosnmp.GoSNMP{
		Target: "127.0.0.1", Port: uint16(pc.LocalAddr().(*net.UDPAddr).Port), Community: "public",
		Version: gosnmp.Version2c, Timeout: 10 * time.Second, MaxOids: 60, MaxRepetitions: 50,
	}
	require.NoError(t, c.Connect())
	t.Cleanup(func() { c.Conn.Close() })
	return c, &n, scalars
}

func TestAgentAnswersGetWalkAndSet(t *testing.T) {
	c, n, scalars := startAgent(t)
	n.Requests.Store(1 << 40)
	n.InFlight.Store(5)

	// A datagram that can't be decoded gets no answer, and the agent goes on.
	_, err := c.Conn.Write([]byte{0x30, 0x84, 0xff, 0xff, 0xff, 0xff})
	require.NoError(t, err)
	p, err := c.Get([]string{objectsOID + "1.0", objectsOID + "10.0", objectsOID + "99.0"})
	require.NoError(t, err)
	require.Equal(t, uint64(1<<40), p.Variables[0].Value)
	require.Equal(t, gosnmp.Gauge32, p.Variables[1].Type)
	require.EqualValues(t, 5, p.Variables[1].Value)
	require.Equal(t, gosnmp.NoSuchObject, p.Variables[2].Type)

	for name, walk := range map[string]func(string) ([]gosnmp.SnmpPDU, error){"next": c.WalkAll, "bulk": c.BulkWalkAll} {
		all, err := walk(strings.TrimSuffix(objectsOID, "."))
		require.NoError(t, err, name)
		require.Len(t, all, len(scalars), name)
	}
	p, err = c.Set([]gosnmp.SnmpPDU{{Name: objectsOID + "1.0", Type: gosnmp.Integer, Value: 1}})
	require.NoError(t, err)
	require.Equal(t, gosnmp.NotWritable, p.Error)
}

func TestMIBNamesEachObject(t *testing.T) {
	_, _, scalars := startAgent(t)
	raw, err := os.ReadFile("../../mibs/RAVENWHEEL-MIB.txt")
	require.NoError(t, err)
	for i := range scalars {
		require.Contains(t, string(raw), fmt.Sprintf("::= { ravenwheelObjects %d }", i+1))
	}
	require.NotContains(t, string(raw), fmt.Sprintf("::= { ravenwheelObjects %d }", len(scalars)+1))
}
