package peers

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/store"
)

// goldenTime is the time at which the golden datagrams were made, Unix ms.
const goldenTime = 1_780_000_000_000

// goldenPosts are two members with keys that do not change, in testdata; their certificates are good until 2126.
func goldenPosts(t *testing.T) (a, b *post) {
	t.Helper()
	load := func(name string, start uint64) *post {
		id, err := store.LoadIdentity("testdata/identities", name)
		require.NoError(t, err)
		return newPost(id, clock.Manual(goldenTime), start)
	}
	return load("a", goldenTime-5000), load("b", goldenTime-4000)
}

// introduced are two that know each other's certificate: what they send is sealed with a MAC, and the same each time.
func introduced(t *testing.T) (a, b *post) {
	t.Helper()
	a, b = goldenPosts(t)
	for _, pair := range [][2]*post{{a, b}, {b, a}} {
		_, err := pair[0].learn(pair[1].id.Certificate())
		require.NoError(t, err)
	}
	return a, b
}

// What a datagram is before it is sealed.
func TestGoldenEnvelope(t *testing.T) {
	for name, e := range map[string]envelope{
		"envelope.cbor":                     {From: "a", To: "b", Start: goldenTime - 5000, Seq: 1 << 33, At: goldenTime, Cert: []byte{0x30, 1, 2}, Body: []byte{kindDigest, 9}},
		"envelope_without_certificate.cbor": {From: "a", Start: 1, Seq: 1, At: goldenTime, Body: []byte{kindAsk}},
	} {
		raw, err := cbor.Marshal(e)
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var back envelope
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name), &back))
		require.Equal(t, e.Cert == nil, back.Cert == nil)
		require.Equal(t, e, back)
		again, err := cbor.Marshal(back)
		require.NoError(t, err)
		golden.Equal(t, name, again)
	}
}

// Datagrams of every kind between two who know each other: sealed to the same bytes, and opened.
func TestGoldenDatagrams(t *testing.T) {
	for name, body := range map[string][]byte{
		"datagram_member.bin": {kindMember, 1, 2, 3}, "datagram_digest.bin": {kindDigest, 4}, "datagram_ask.bin": {kindAsk},
		"datagram_twice.bin": append([]byte{kindTwice}, "127.0.0.1:7946"...),
	} {
		a, b := introduced(t)
		raw, err := a.seal("b", body)
		require.NoError(t, err)
		require.EqualValues(t, macSize, raw[0])
		golden.Equal(t, name, raw)
		from, start, opened, err := b.open("x", golden.Read(t, name))
		require.NoError(t, err, name)
		require.Equal(t, "a", from)
		require.EqualValues(t, goldenTime-5000, start)
		require.Equal(t, body, opened)
	}
	require.Equal(t, []byte{0, 1, 2, 3}, []byte{kindMember, kindDigest, kindTwice, kindAsk})
}

// A signature is another one each time: one that an earlier version made is opened by one that knows nobody yet.
func TestGoldenSignedDatagram(t *testing.T) {
	_, b := goldenPosts(t)
	from, start, body, err := b.open("x", golden.Read(t, "datagram_signed.bin"))
	require.NoError(t, err)
	require.Equal(t, "a", from)
	require.EqualValues(t, goldenTime-5000, start)
	require.Equal(t, []byte{kindMember, 1, 2, 3}, body)
}

// goldenDigest has every field set that goes over the wire.
func goldenDigest() fleetview.Digest {
	return fleetview.Digest{
		Version: 42, Zone: "zone-1", Arrivals: fleetview.LevelOf(765),
		Servers: []fleetview.ServerLoad{{Server: 7, Attempts: 60, Failures: 5, Rejections: 4, Overdue: 3, InFlight: 30, Latency: fleetview.Latency{200, 40}}, {Server: 300}},
		Objects: []fleetview.ObjectRate{{Object: 1<<60 + 3, Rate: 40}}, Partial: true,
	}
}

// A digest as it leaves a process, with the mark of whom that takes for alive behind it, and as it is taken in.
func TestGoldenDigestBody(t *testing.T) {
	a, b := introduced(t)
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer out.Close()
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer in.Close()

	sender := &Peers{net: &transport{post: a, udp: out}, set: 0x0123456789abcdef}
	addr := in.LocalAddr().(*net.UDPAddr)
	d := goldenDigest()
	d.From, d.Incarnation = "a", 5
	sender.tell([]*memberlist.Node{{Name: "b", Addr: addr.IP, Port: uint16(addr.Port)}}, d)
	raw := make([]byte, mostDatagram)
	require.NoError(t, in.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := in.Read(raw)
	require.NoError(t, err)
	_, _, body, err := b.open("x", raw[:n])
	require.NoError(t, err)
	golden.Equal(t, "digest_body.bin", body)

	receiver := &Peers{opt: Options{Clock: clock.Manual(goldenTime)}, view: fleetview.New("b", fleetview.DefaultSettings()), set: 0x0123456789abcdef}
	receiver.heard("a", goldenTime-5000, golden.Read(t, "digest_body.bin")[1:])
	require.Zero(t, receiver.Refused.Load())
	require.Equal(t, 1, receiver.same)
	reporters := receiver.view.Reports(goldenTime, 7)
	require.Len(t, reporters, 1)
	require.Equal(t, "a", reporters[0].Name)
	require.Equal(t, fleetview.Latency{200, 40}, reporters[0].Latency)
}

// What a member tells of itself by gossip.
func TestGoldenMeta(t *testing.T) {
	p := &Peers{opt: Options{Zone: "zone-1", Region: "region-1"}}
	golden.Equal(t, "meta.cbor", delegate{p}.NodeMeta(512))
	var m meta
	require.NoError(t, cbor.Unmarshal(golden.Read(t, "meta.cbor"), &m))
	require.Equal(t, meta{Zone: "zone-1", Region: "region-1"}, m)
}

// The files in which members and starts are kept are read, and written as they were.
func TestGoldenFiles(t *testing.T) {
	put := func(dir, name string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), golden.Read(t, name), 0o600))
	}
	alive := []Member{
		{Name: "proxy-a", Addr: "127.0.0.1:7001"}, {Name: "proxy-b", Addr: "[::1]:7002"}, {Name: "proxy-c", Addr: "10.0.0.3:7003"},
	}
	fresh := t.TempDir()
	written := loadKnown(fresh)
	require.NoError(t, written.keep("self", alive))
	raw, err := os.ReadFile(filepath.Join(fresh, "peers.known"))
	require.NoError(t, err)
	golden.Equal(t, "peers.known", raw)
	dir := t.TempDir()
	put(dir, "peers.known")
	require.Equal(t, written.list, loadKnown(dir).list)
	require.Len(t, written.list, 3)

	start, err := nextStart(fresh, goldenTime)
	require.NoError(t, err)
	require.EqualValues(t, goldenTime, start)
	raw, err = os.ReadFile(filepath.Join(fresh, "peers.start"))
	require.NoError(t, err)
	golden.Equal(t, "peers.start", raw)
	put(dir, "peers.start")
	start, err = nextStart(dir, goldenTime-1000)
	require.NoError(t, err)
	require.EqualValues(t, goldenTime+1, start)
}

// What operators see keeps its JSON keys, and a set its mark.
func TestGoldenStatus(t *testing.T) {
	for name, status := range map[string]Status{
		"status.json": {
			Name: "a", Addr: "127.0.0.1:7001", Alive: 2, Set: Set([]string{"a 127.0.0.1:7001", "b 127.0.0.1:7002"}), Hears: 1,
			Members: []Member{
				{Name: "a", Addr: "127.0.0.1:7001", Zone: "zone-1", Region: "region-1", State: Alive, Since: goldenTime + 0.5},
				{Name: "b", Addr: "127.0.0.1:7002", Zone: "zone-2", State: Gone}, {Name: "c", State: Left},
			},
			Sent: 1, Digests: 2, Streams: 3, Received: 4, Dropped: map[string]int64{"forged": 5},
		},
		"status_empty.json": {},
	} {
		raw, err := json.MarshalIndent(status, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var back Status
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &back))
		require.Equal(t, status, back)
	}
	a, _ := goldenPosts(t)
	brief := (&Peers{post: a, net: &transport{addr: netAddr{net.IPv4(127, 0, 0, 1), 7001}}}).Brief()
	raw, err := json.MarshalIndent(brief.Dropped, "", "  ")
	require.NoError(t, err)
	golden.Equal(t, "dropped.json", raw)
}
