package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/store"
)

// identities returns the identities of members a and b of one cluster, and of a member of another cluster that is also named a.
func identities(t *testing.T) (a, b, other *store.Identity) {
	dir, otherDir := t.TempDir(), t.TempDir()
	require.NoError(t, store.CreateAuthority(dir, "th"))
	require.NoError(t, store.CreateAuthority(otherDir, "th"))
	load := func(dir, name string) *store.Identity {
		require.NoError(t, store.IssueCertificate(dir, name))
		id, err := store.LoadIdentity(dir, name)
		require.NoError(t, err)
		return id
	}
	return load(dir, "a"), load(dir, "b"), load(otherDir, "a")
}

// Datagrams that are forged, for another receiver, repeated, expired, or over the rate limit are dropped, and counted by reason.
func TestOpenDropsInvalidDatagrams(t *testing.T) {
	idA, idB, idOther := identities(t)
	clk := clock.Manual(1e12)
	a, b := newSealer(idA, clk, uint64(clk.Now())), newSealer(idB, clk, uint64(clk.Now()))
	seal := func(from *sealer, to string) []byte {
		raw, err := from.seal(to, []byte("hello"))
		require.NoError(t, err)
		return raw
	}
	dropped := &b.dropped
	first := seal(a, "b")
	datagram, err := b.open("x", first)
	require.NoError(t, err)
	require.Equal(t, "a hello", datagram.from+" "+string(datagram.body), "the first datagrams of a contain its certificate")

	_, err = b.open("x", first)
	require.Error(t, err)
	require.EqualValues(t, 1, dropped.Replayed.Load())

	_, err = b.open("x", seal(newSealer(idOther, clk, uint64(clk.Now())), "b"))
	require.Error(t, err)
	require.EqualValues(t, 1, dropped.Forged.Load(), "the signature does not match the certificate of a that is known")

	_, err = b.open("x", seal(a, "c"))
	require.Error(t, err)
	require.EqualValues(t, 1, dropped.Misdirected.Load())

	for offset := range first {
		altered := append([]byte(nil), first...)
		altered[offset] ^= 0x40
		_, err = b.open("x", altered)
		require.Error(t, err, "byte %d", offset)
	}
	for length := range first {
		_, err = b.open("x", first[:length])
		require.Error(t, err, "cut at %d", length)
	}
	stale := seal(a, "b")
	clk.Advance(maxClockSkew + 1)
	before := dropped.Expired.Load()
	_, err = b.open("x", stale)
	require.Error(t, err)
	require.Equal(t, before+1, dropped.Expired.Load())

	// Clocks may be 3 s apart. A process that knows no certificates yet accepts a datagram only with a certificate of its own
	// cluster.
	ahead := newSealer(idA, clock.Manual(clk.Now()+3000), uint64(clk.Now()))
	_, err = b.open("x", seal(ahead, "b"))
	require.NoError(t, err)
	fresh := newSealer(idB, clk, uint64(clk.Now()))
	_, err = fresh.open("x", seal(newSealer(idOther, clk, uint64(clk.Now())), "b"))
	require.Error(t, err)
	require.EqualValues(t, 1, fresh.dropped.UnknownSender.Load())

	for range 2 * rateBurst {
		_, _ = b.open("flooder", []byte{9})
	}
	require.Positive(t, dropped.RateLimited.Load())
	_, err = b.open("x", seal(ahead, "b"))
	require.NoError(t, err, "the rate limit of one address does not affect other addresses")
}

// A process that has restarted knows no certificates. It requests the certificate of a sender that had sent it to its earlier
// incarnation, and accepts the sender's datagrams once the certificate is sent again.
func TestRestartedReceiverRequestsCertificate(t *testing.T) {
	idA, idB, _ := identities(t)
	clk := clock.Manual(1e12)
	a := newSealer(idA, clk, uint64(clk.Now()))
	for range firstCertificates {
		_, err := a.seal("b", []byte("hello"))
		require.NoError(t, err)
	}
	b := newSealer(idB, clk, uint64(clk.Now()))
	raw, err := a.seal("b", []byte("hello"))
	require.NoError(t, err)
	datagram, err := b.open("x", raw)
	require.ErrorIs(t, err, errUnknownSender)
	require.True(t, b.mayRequestCertificate(datagram.from))
	require.False(t, b.mayRequestCertificate(datagram.from), "at most one request per second")
	a.resendCertificate("b")
	raw, err = a.seal("b", []byte("hello"))
	require.NoError(t, err)
	datagram, err = b.open("x", raw)
	require.NoError(t, err)
	require.Equal(t, "a", datagram.from)
}

// Two peers that know each other's certificate use MACs in place of signatures, and no third process can make a datagram that
// either accepts: one that is altered, or returned to its sender under the receiver's name, is dropped.
func TestPeersWithKnownCertificatesUseMACs(t *testing.T) {
	idA, idB, _ := identities(t)
	clk := clock.Manual(1e12)
	a, b := newSealer(idA, clk, uint64(clk.Now())), newSealer(idB, clk, uint64(clk.Now()))
	sendAndOpen := func(from, to *sealer, name string) int {
		raw, err := from.seal(name, []byte("hello"))
		require.NoError(t, err)
		datagram, err := to.open("x", raw)
		require.NoError(t, err)
		require.Equal(t, "hello", string(datagram.body))
		return int(raw[0])
	}
	require.Greater(t, sendAndOpen(a, b, "b"), macSize, "a signs, as it does not know b's certificate")
	require.Equal(t, macSize, sendAndOpen(b, a, "a"), "b uses a MAC, as it knows a's certificate")
	require.Equal(t, macSize, sendAndOpen(a, b, "b"))

	raw, err := a.seal("b", []byte("hello"))
	require.NoError(t, err)
	for _, offset := range []int{1, macSize, macSize + 1, len(raw) - 1} {
		altered := append([]byte(nil), raw...)
		altered[offset] ^= 1
		_, err = b.open("x", altered)
		require.Error(t, err, "byte %d", offset)
	}
	// A datagram of a is returned to a under b's name, with a's own MAC. It is not accepted, because each direction has a key of
	// its own.
	sealEnd := 1 + macSize
	var e envelope
	require.NoError(t, cbor.Unmarshal(raw[sealEnd:], &e))
	e.From, e.To = "b", "a"
	reencoded, err := cbor.Marshal(e)
	require.NoError(t, err)
	_, err = a.open("x", append(append([]byte{macSize}, mac(a.peerKeys["b"].sendKey, reencoded)...), reencoded...))
	require.Error(t, err)
	require.Positive(t, a.dropped.Forged.Load())
}

// Processes that know the old certificate of a member accept a renewed one. From then on they reject the old one, so that a leaked
// key is useless.
func TestRenewedCertificateReplacesOld(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, store.CreateAuthority(dir, "th"))
	load := func(name string) *store.Identity {
		require.NoError(t, store.IssueCertificate(dir, name))
		id, err := store.LoadIdentity(dir, name)
		require.NoError(t, err)
		return id
	}
	clk := clock.Manual(1e12)
	old, b := newSealer(load("a"), clk, 1), newSealer(load("b"), clk, 1)
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second))) // the time of issue is in whole seconds
	renewed := newSealer(load("a"), clk, 2)
	for i, p := range []*sealer{old, renewed, old, renewed} {
		raw, err := p.seal("b", []byte("hello"))
		require.NoError(t, err)
		_, err = b.open("x", raw)
		if i == 2 {
			require.Error(t, err)
			require.EqualValues(t, 1, b.dropped.Forged.Load())
		} else {
			require.NoError(t, err, "%d", i)
		}
	}
}
