package snmp

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/gosnmp/gosnmp"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
)

// Each object has the OID, the type and the counter in the golden file, and the MIB gives it the same OID and type.
func TestGoldenObjects(t *testing.T) {
	client, counters, _ := startAgent(t)
	counters.Requests.Store(101)
	counters.Served.Store(102)
	counters.Rejected.Store(103)
	counters.Failed.Store(104)
	counters.Abandoned.Store(105)
	counters.Attempts.Store(106)
	counters.Timeouts.Store(107)
	counters.Skipped.Store(108)
	counters.Notifications.Store(109)
	counters.InFlight.Store(110)
	counters.NeverSent.Store(114)
	counters.UnansweredConns.Store(115)
	counters.WrongTags.Store(116)
	objects, err := client.WalkAll(strings.TrimSuffix(objectsOID, "."))
	require.NoError(t, err)
	mib, err := os.ReadFile("../../mibs/RAVENWHEEL-MIB.txt")
	require.NoError(t, err)
	described := regexp.MustCompile(`(?s)(rw\w+) OBJECT-TYPE\s+SYNTAX\s+(\w+)\s.*?::= \{ ravenwheelObjects (\d+) \}`).FindAllStringSubmatch(string(mib), -1)
	require.Len(t, described, len(objects))
	types := map[gosnmp.Asn1BER]string{gosnmp.Counter64: "Counter64", gosnmp.Gauge32: "Gauge32"}
	var out bytes.Buffer
	for i, object := range objects {
		name, syntax, number := described[i][1], described[i][2], described[i][3]
		require.Equal(t, objectsOID+number+".0", object.Name)
		require.Equal(t, syntax, types[object.Type], name)
		fmt.Fprintf(&out, "%s %s %s %v\n", object.Name, name, syntax, object.Value)
	}
	golden.Equal(t, "objects.txt", out.Bytes())
}
