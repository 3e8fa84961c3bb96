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

// goldenSealers returns the sealers of two members. Their keys and certificates are in testdata and do not change; the certificates
// are valid until 2126.
func goldenSealers(t *testing.T) (a, b *sealer) {
	t.Helper()
	load := func(name string, incarnation uint64) *sealer {
		id, err := store.LoadIdentity("testdata/identities", name)
		require.NoError(t, err)
		return newSealer(id, clock.Manual(goldenTime), incarnation)
	}
	return load("a", goldenTime-5000), load("b", goldenTime-4000)
}

// sealersThatKnowEachOther returns the sealers of two members that know each other's certificate. They seal with MACs, which are
// the same each time.
func sealersThatKnowEachOther(t *testing.T) (a, b *sealer) {
	t.Helper()
	a, b = goldenSealers(t)
	for _, pair := range [][2]*sealer{{a, b}, {b, a}} {
		_, err := pair[0].learnCertificate(pair[1].identity.Certificate())
		require.NoError(t, err)
	}
	return a, b
}

// Envelopes, before they are sealed, are encoded to the same bytes as by earlier versions, and theirs are decoded.
func TestGoldenEnvelope(t *testing.T) {
	for name, e := range map[string]envelope{
		"envelope.cbor": {
			From: "a", To: "b", Incarnation: goldenTime - 5000, Sequence: 1 << 33, SentAt: goldenTime,
			Certificate: []byte{0x30, 1, 2}, Body: []byte{kindDigest, 9},
		},
		"envelope_without_certificate.cbor": {From: "a", Incarnation: 1, Sequence: 1, SentAt: goldenTime, Body: []byte{kindCertificateRequest}},
	} {
		raw, err := cbor.Marshal(e)
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var decoded envelope
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, e.Certificate == nil, decoded.Certificate == nil)
		require.Equal(t, e, decoded)
		reencoded, err := cbor.Marshal(decoded)
		require.NoError(t, err)
		golden.Equal(t, name, reencoded)
	}
}

// Datagrams of every kind between two members that know each other's certificate are sealed to the same bytes as by earlier
// versions, and theirs are opened.
func TestGoldenDatagrams(t *testing.T) {
	for name, body := range map[string][]byte{
		"datagram_member.bin": {kindMembership, 1, 2, 3}, "datagram_digest.bin": {kindDigest, 4}, "datagram_ask.bin": {kindCertificateRequest},
		"datagram_twice.bin": append([]byte{kindNameConflict}, "127.0.0.1:7946"...),
	} {
		a, b := sealersThatKnowEachOther(t)
		raw, err := a.seal("b", body)
		require.NoError(t, err)
		require.EqualValues(t, macSize, raw[0])
		golden.Equal(t, name, raw)
		datagram, err := b.open("x", golden.Read(t, name))
		require.NoError(t, err, name)
		require.Equal(t, "a", datagram.from)
		require.EqualValues(t, goldenTime-5000, datagram.incarnation)
		require.Equal(t, body, datagram.body)
	}
	require.Equal(t, []byte{0, 1, 2, 3}, []byte{kindMembership, kindDigest, kindNameConflict, kindCertificateRequest})
}

// A process that knows no certificate yet opens a datagram that an earlier version has signed. Signed datagrams can't be compared
// byte for byte, because a signature is different each time.
func TestGoldenSignedDatagram(t *testing.T) {
	_, b := goldenSealers(t)
	datagram, err := b.open("x", golden.Read(t, "datagram_signed.bin"))
	require.NoError(t, err)
	require.Equal(t, "a", datagram.from)
	require.EqualValues(t, goldenTime-5000, datagram.incarnation)
	require.Equal(t, []byte{kindMembership, 1, 2, 3}, datagram.body)
}

// goldenDigest returns a digest with every field set that is sent.
func goldenDigest() fleetview.Digest {
	return fleetview.Digest{
		Version: 42, Zone: "zone-1", Arrivals: fleetview.LevelOf(765),
		Servers: []fleetview.ServerLoad{
			{Server: 7, Attempts: 60, Failures: 5, Rejections: 4, Overdue: 3, InFlight: 30, Latency: fleetview.Latency{200, 40}},
			{Server: 300},
		},
		Objects: []fleetview.ObjectRate{{Object: 1<<60 + 3, Rate: 40}}, Partial: true,
	}
}

// A digest, followed by the fingerprint of the alive members, is sent as the same bytes as by earlier versions, and theirs are
// merged.
func TestGoldenDigestBody(t *testing.T) {
	a, b := sealersThatKnowEachOther(t)
	senderConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer senderConn.Close()
	receiverConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer receiverConn.Close()

	sender := &Peers{transport: &transport{sealer: a, udp: senderConn}, aliveFingerprint: 0x0123456789abcdef}
	addr := receiverConn.LocalAddr().(*net.UDPAddr)
	d := goldenDigest()
	d.From, d.Incarnation = "a", 5
	sender.sendDigest([]*memberlist.Node{{Name: "b", Addr: addr.IP, Port: uint16(addr.Port)}}, d)
	raw := make([]byte, maxDatagram)
	require.NoError(t, receiverConn.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := receiverConn.Read(raw)
	require.NoError(t, err)
	datagram, err := b.open("x", raw[:n])
	require.NoError(t, err)
	golden.Equal(t, "digest_body.bin", datagram.body)

	receiver := &Peers{
		options: Options{Clock: clock.Manual(goldenTime)}, view: fleetview.New("b", fleetview.DefaultSettings()),
		aliveFingerprint: 0x0123456789abcdef,
	}
	receiver.receiveDigest("a", goldenTime-5000, golden.Read(t, "digest_body.bin")[1:])
	require.Zero(t, receiver.RejectedDigests.Load())
	require.Equal(t, 1, receiver.agreeingDigests)
	reports := receiver.view.Reports(goldenTime, 7)
	require.Len(t, reports, 1)
	require.Equal(t, "a", reports[0].Name)
	require.Equal(t, fleetview.Latency{200, 40}, reports[0].Latency)
}

// The metadata of a member is encoded to the same bytes as by earlier versions, and theirs are decoded.
func TestGoldenMeta(t *testing.T) {
	p := &Peers{options: Options{Zone: "zone-1", Region: "region-1"}}
	golden.Equal(t, "meta.cbor", delegate{p}.NodeMeta(512))
	var decoded memberMeta
	require.NoError(t, cbor.Unmarshal(golden.Read(t, "meta.cbor"), &decoded))
	require.Equal(t, memberMeta{Zone: "zone-1", Region: "region-1"}, decoded)
}

// The files of remembered members and of the incarnation are written with the same bytes as by earlier versions, and theirs are
// read.
func TestGoldenFiles(t *testing.T) {
	copyGolden := func(dir, name string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), golden.Read(t, name), 0o600))
	}
	alive := []Member{
		{Name: "proxy-a", Addr: "127.0.0.1:7001"}, {Name: "proxy-b", Addr: "[::1]:7002"}, {Name: "proxy-c", Addr: "10.0.0.3:7003"},
	}
	newDir := t.TempDir()
	written := loadRemembered(newDir)
	require.NoError(t, written.save("self", alive))
	raw, err := os.ReadFile(filepath.Join(newDir, "peers.known"))
	require.NoError(t, err)
	golden.Equal(t, "peers.known", raw)
	existingDir := t.TempDir()
	copyGolden(existingDir, "peers.known")
	require.Equal(t, written.addresses, loadRemembered(existingDir).addresses)
	require.Len(t, written.addresses, 3)

	incarnation, err := nextIncarnation(newDir, goldenTime)
	require.NoError(t, err)
	require.EqualValues(t, goldenTime, incarnation)
	raw, err = os.ReadFile(filepath.Join(newDir, "peers.start"))
	require.NoError(t, err)
	golden.Equal(t, "peers.start", raw)
	copyGolden(existingDir, "peers.start")
	incarnation, err = nextIncarnation(existingDir, goldenTime-1000)
	require.NoError(t, err)
	require.EqualValues(t, goldenTime+1, incarnation)
}

// The JSON keys shown to operators and the fingerprint of a set of members do not change.
func TestGoldenStatus(t *testing.T) {
	for name, status := range map[string]Status{
		"status.json": {
			Name: "a", Addr: "127.0.0.1:7001", Alive: 2, Fingerprint: MembersFingerprint([]string{"a 127.0.0.1:7001", "b 127.0.0.1:7002"}), RecentSenders: 1,
			Members: []Member{
				{Name: "a", Addr: "127.0.0.1:7001", Zone: "zone-1", Region: "region-1", State: StateAlive, Since: goldenTime + 0.5},
				{Name: "b", Addr: "127.0.0.1:7002", Zone: "zone-2", State: StateFailed}, {Name: "c", State: StateLeft},
			},
			SentBytes: 1, DigestBytes: 2, StreamBytes: 3, ReceivedBytes: 4, Dropped: map[string]int64{"forged": 5},
		},
		"status_empty.json": {},
	} {
		raw, err := json.MarshalIndent(status, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var decoded Status
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, status, decoded)
	}
	a, _ := goldenSealers(t)
	summary := (&Peers{sealer: a, transport: &transport{advertised: advertisedAddress{net.IPv4(127, 0, 0, 1), 7001}}}).Summary()
	raw, err := json.MarshalIndent(summary.Dropped, "", "  ")
	require.NoError(t, err)
	golden.Equal(t, "dropped.json", raw)
}
