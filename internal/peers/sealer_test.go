package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/store"
)

// identities are members a and b of one cluster, and a member of another cluster under the name a.
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

// A datagram that is forged, for another receiver, repeated, expired, or over the rate is dropped, and counted by reason.
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
	require.Equal(t, "a hello", datagram.from+" "+string(datagram.body), "its first datagrams bring its certificate")

	_, err = b.open("x", first)
	require.Error(t, err)
	require.EqualValues(t, 1, dropped.Replayed.Load())

	_, err = b.open("x", seal(newSealer(idOther, clk, uint64(clk.Now())), "b"))
	require.Error(t, err)
	require.EqualValues(t, 1, dropped.Forged.Load(), "the a of another cluster: its signature is not that of the a that is known")

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

	// Clocks may be 3 s apart; a process that knows nobody accepts a datagram only with a certificate of its own cluster.
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
	require.NoError(t, err, "others are not affected")
}

// A process that has restarted knows nobody: it requests the certificate of a sender that had sent it before.
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
	require.False(t, b.mayRequestCertificate(datagram.from), "once a second")
	a.resendCertificate("b")
	raw, err = a.seal("b", []byte("hello"))
	require.NoError(t, err)
	datagram, err = b.open("x", raw)
	require.NoError(t, err)
	require.Equal(t, "a", datagram.from)
}

// Two that know each other's certificate do not sign any more, and no third process can make what either accepts.
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
	require.Greater(t, sendAndOpen(a, b, "b"), macSize, "a signature, as a does not know b")
	require.Equal(t, macSize, sendAndOpen(b, a, "a"), "as b knows a")
	require.Equal(t, macSize, sendAndOpen(a, b, "b"))

	raw, err := a.seal("b", []byte("hello"))
	require.NoError(t, err)
	for _, offset := range []int{1, macSize, macSize + 1, len(raw) - 1} {
		altered := append([]byte(nil), raw...)
		altered[offset] ^= 1
		_, err = b.open("x", altered)
		require.Error(t, err, "byte %d", offset)
	}
	// What a has sent is returned to it under b's name: each direction has a key of its own.
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

// A member with a new certificate is accepted by those that know its old one, and the old one is useless from then on.
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
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second))) // certificates have their time to the second
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
