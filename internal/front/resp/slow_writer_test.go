package resp_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/front/resp"
	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
)

// gatedFront starts a front with maxConns slots that reads its connections through a gatedListener.
func gatedFront(t *testing.T, p *scenario.Proxy, maxConns int) (*resp.Front, *gatedListener) {
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	gate := &gatedListener{TCPListener: ln.(*net.TCPListener)}
	f := resp.New(gate, maxConns, p.Clock, p.Core)
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { f.Close() })
	return f, gate
}

// The parts of a frame arrive a second apart, and take several times as long as a silent client may. The request is served, both
// the first one on a connection and a later one.
func TestSlowWriterIsServed(t *testing.T) {
	p := scenario.NewProxy(t)
	f, gate := gatedFront(t, p, 10)
	nc, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer nc.Close()
	sent := int64(0)
	write := func(b []byte) {
		_, err := nc.Write(b)
		require.NoError(t, err)
		sent += int64(len(b))
		require.Eventually(t, func() bool { return gate.bytesBeforeRead.Load() == sent }, 10*time.Second, time.Millisecond)
	}
	for _, tag := range []string{"1", "2"} {
		frame := frames.AppendFrame(nil, "RPC.CALL", tag, "asset", "rid=00000000000000a"+tag+",budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17")
		for size := len(frame)/7 + 1; len(frame) > 0; frame = frame[min(size, len(frame)):] {
			write(frame[:min(size, len(frame))])
			if len(frame) > size {
				p.Clock.Advance(1000)
			}
		}
		scenario.Run(t, p.Clock, map[string]scenario.Actor{"s": p.Cache}, `
			s expect fetch 00000000000000a`+tag+` * -
			s send $id served why=local,version=v1 BYTES`)
		read := make([]byte, 64)
		n, err := nc.Read(read)
		require.NoError(t, err)
		require.Contains(t, string(read[:n]), "BYTES")
		require.Eventually(t, f.Idle, time.Minute, time.Millisecond)
	}
	p.Clock.Advance(3000)
	write([]byte("*4\r\n$8"))
	p.Clock.Advance(3000)
	_, err = nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "a partial frame that no more bytes follow ends its connection")
}

// A request whose two parts arrive 2 s apart on a new connection is served. A connection with a partial frame that is not completed
// is closed within 3 s of connecting.
func TestPartialFrameTimesOut(t *testing.T) {
	p := scenario.NewProxy(t)
	f, gate := gatedFront(t, p, 10)
	frame := frames.AppendFrame(nil, strings.Fields(assetCall)...)
	sendPartialFrame := func() net.Conn {
		nc, err := net.Dial("tcp", f.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { nc.Close() })
		before := gate.bytesRead.Load()
		_, err = nc.Write(frame[:40])
		require.NoError(t, err)
		require.Eventually(t, func() bool { return gate.bytesBeforeRead.Load() == before+40 }, 10*time.Second, time.Millisecond)
		return nc
	}
	nc := sendPartialFrame()
	p.Clock.Advance(2000)
	_, err := nc.Write(frame[40:])
	require.NoError(t, err)
	scenario.Run(t, p.Clock, map[string]scenario.Actor{"s": p.Cache}, `
		s expect fetch 00000000000000a1 * -
		s send $id served why=local,version=v1 BYTES`)
	read := make([]byte, 64)
	n, err := nc.Read(read)
	require.NoError(t, err)
	require.Contains(t, string(read[:n]), "BYTES")
	silent := sendPartialFrame()
	p.Clock.Advance(2990)
	_, err = silent.Read(read)
	require.ErrorIs(t, err, io.EOF)
}

// A request has reached a connection but is not read yet, because the reader is delayed. The connection is closed neither to free
// its slot for a new one nor because of its partial frame. Both this request and that of the new connection are answered.
func TestUnreadRequestKeepsConnectionOpen(t *testing.T) {
	const healthFrame = "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"
	for name, isPartial := range map[string]bool{"a slot is needed": false, "a partial frame times out": true} {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			f, gate := gatedFront(t, p, 1)
			nc, err := net.Dial("tcp", f.Addr())
			require.NoError(t, err)
			defer nc.Close()
			_, err = io.WriteString(nc, healthFrame)
			require.NoError(t, err)
			answer := make([]byte, 64)
			_, err = nc.Read(answer)
			require.NoError(t, err)
			require.Eventually(t, f.Idle, time.Minute, time.Millisecond)
			frame := frames.AppendFrame(nil, strings.Fields(assetCall)...)
			partialLen := 0
			if isPartial {
				partialLen = 9
				_, err = nc.Write(frame[:partialLen])
				require.NoError(t, err)
				require.Eventually(t, func() bool { return gate.bytesBeforeRead.Load() == int64(len(healthFrame)+partialLen) }, time.Minute, time.Millisecond)
			}
			gate.mu.Lock()
			_, err = nc.Write(frame[partialLen:])
			require.NoError(t, err)
			actors := map[string]scenario.Actor{"s": p.Cache}
			if isPartial {
				p.Clock.Advance(2750)
			} else {
				actors["new"] = scenario.Dial(t, f.Addr())
				require.NoError(t, actors["new"].Send([]string{"RPC.HEALTH", "1"}))
			}
			for range 20 {
				time.Sleep(time.Millisecond) // time enough for a wrong close
			}
			gate.mu.Unlock()
			scenario.Run(t, p.Clock, actors, `
				s expect fetch 00000000000000a1 * -
				s send $id served why=local,version=v1 BYTES`)
			n, err := nc.Read(answer)
			require.NoError(t, err)
			require.Contains(t, string(answer[:n]), "BYTES")
			if !isPartial {
				scenario.Run(t, p.Clock, actors, `
					new await 1 yes`)
			}
		})
	}
}
