package store

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// identities issues an identity in the same new cluster for each name.
func identities(t *testing.T, names ...string) []*Identity {
	dir := t.TempDir()
	require.NoError(t, CreateAuthority(dir, "th"))
	var out []*Identity
	for _, name := range names {
		require.NoError(t, IssueCertificate(dir, name))
		id, err := LoadIdentity(dir, name)
		require.NoError(t, err)
		out = append(out, id)
	}
	return out
}

// listenLinks accepts links at a loopback address, and answers each frame with the peer's name and the frame.
func listenLinks(t *testing.T, id *Identity, maxLinks int) *LinkListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := ListenLinks(id, ln, maxLinks, func(l *Link) {
		for {
			text, err := l.Receive(100, 0)
			if err != nil || l.Send([]byte(l.Peer+": "+string(text)), waitTimeout) != nil {
				return
			}
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Each of two members of a cluster sees the other's name, and they exchange frames. A member of another cluster can't connect.
func TestLinkExchangesFramesBetweenNamedPeers(t *testing.T) {
	ids := identities(t, "a", "b")
	listener := listenLinks(t, ids[0], 8)
	l, err := DialLink(ids[1], listener.Addr().String(), waitTimeout, nil)
	require.NoError(t, err)
	defer l.Close()
	require.Equal(t, "a", l.Peer)
	for _, text := range []string{"one", "two"} {
		require.NoError(t, l.Send([]byte(text), waitTimeout))
		back, err := l.Receive(100, waitTimeout)
		require.NoError(t, err)
		require.Equal(t, "b: "+text, string(back))
	}
	require.NoError(t, l.Send(make([]byte, 101), waitTimeout))
	_, err = l.Receive(100, waitTimeout)
	require.Error(t, err, "a frame above the maximum ends the link")
	_, err = DialLink(identities(t, "b")[0], listener.Addr().String(), waitTimeout, nil)
	require.Error(t, err)
}

// A LinkListener refuses calls, and a store's address refuses links.
func TestAddressRefusesOtherKindsOfConnection(t *testing.T) {
	ids := identities(t, "a", "b")
	listener := listenLinks(t, ids[0], 8)
	_, sent, err := (&transport{identity: ids[1], dial: dialTCP}).call(listener.Addr().String(), request{Operation: OpStatus}, waitTimeout)
	require.True(t, sent)
	require.Error(t, err)

	c := newCluster(t, "a")
	id, err := LoadIdentity(c.keys, "a")
	require.NoError(t, err)
	l, err := DialLink(id, c.addrs["a"], waitTimeout, nil)
	require.NoError(t, err)
	defer l.Close()
	_, err = l.Receive(100, waitTimeout)
	require.ErrorIs(t, err, io.EOF)
}

// Closing a LinkListener closes its links at both ends and waits for their handlers. A link beyond maxLinks is refused.
func TestLinkListenerCloseEndsItsLinks(t *testing.T) {
	ids := identities(t, "a", "b")
	listener := listenLinks(t, ids[0], 1)
	l, err := DialLink(ids[1], listener.Addr().String(), waitTimeout, nil)
	require.NoError(t, err)
	defer l.Close()
	require.NoError(t, l.Send([]byte("one"), waitTimeout))
	_, err = l.Receive(100, waitTimeout)
	require.NoError(t, err)
	_, err = DialLink(ids[1], listener.Addr().String(), waitTimeout, nil)
	require.Error(t, err, "a second link, where one is allowed")
	require.NoError(t, listener.Close())
	_, err = l.Receive(100, waitTimeout)
	require.Error(t, err)
}

// A send to a peer that does not read fails when its time-out is over.
func TestLinkSendTimesOut(t *testing.T) {
	ids := identities(t, "a", "b")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sendErr := make(chan error, 1)
	listener := ListenLinks(ids[0], ln, 8, func(l *Link) {
		for {
			if err := l.Send(make([]byte, 1<<20), 50*time.Millisecond); err != nil {
				sendErr <- err
				return
			}
		}
	})
	defer listener.Close()
	l, err := DialLink(ids[1], listener.Addr().String(), waitTimeout, nil)
	require.NoError(t, err)
	defer l.Close()
	var timeoutErr net.Error
	require.True(t, errors.As(<-sendErr, &timeoutErr) && timeoutErr.Timeout())
}
