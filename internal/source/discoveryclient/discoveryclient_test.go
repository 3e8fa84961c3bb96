package discoveryclient

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/decide/timestamp"
	"ravenwheel/policy"
)

func frame(rev uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, rev), kind), payload...)
}

func group(n uint16, ms uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint16(nil, n), ms)
}

// followed is a client that knows four events, and the board that it follows. Time passes only as a test has it.
type followed struct {
	t      *testing.T
	clk    *clock.Clock
	ln     net.Listener
	client *Client
	got    chan Event // the events that the client hands on
}

func follow(t *testing.T) *followed {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &followed{t: t, clk: clock.Manual(1e12), ln: ln, got: make(chan Event, 10)}
	f.client = &Client{
		Addr: ln.Addr().String(), LastRevision: 4, Settings: discovery.DefaultSettings(1, 1000), Clock: f.clk, OnEvent: func(n Event) { f.got <- n },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); ln.Close() })
	go f.client.Run(ctx)
	return f
}

// accept is the board's next connection, which asks for what comes after a number.
func (f *followed) accept(want uint64) net.Conn {
	nc, err := f.ln.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { nc.Close() })
	var last uint64
	require.NoError(f.t, binary.Read(nc, binary.BigEndian, &last))
	require.Equal(f.t, want, last)
	return nc
}

// pass lets time pass, in steps, until what is said.
func (f *followed) pass(until func(s Status) bool) {
	require.Eventually(f.t, func() bool {
		if until(f.client.Status()) {
			return true
		}
		f.clk.Advance(25)
		return false
	}, time.Minute, 2*time.Millisecond)
}

// called lets time pass until there is another call.
func (f *followed) called() {
	before := f.client.Status().Calls
	f.pass(func(s Status) bool { return s.Calls > before })
}

func (f *followed) write(nc net.Conn, b []byte) {
	_, err := nc.Write(b)
	require.NoError(f.t, err)
}

// left is that the client has closed a connection.
func (f *followed) left(nc net.Conn) {
	_, err := nc.Read(make([]byte, 1))
	require.ErrorIs(f.t, err, io.EOF)
}

// A board that falls silent, sends what can't be read, or an event twice: the client calls again with the last number it has, and
// hands on each event once. A call that is silent stays open until another one speaks.
func TestClientCallsAgain(t *testing.T) {
	f := follow(t)
	first := f.accept(4)
	f.write(first, append(frame(5, kindGroup, group(17, 1000)...), frame(5, kindGroup, group(17, 1000)...)...))
	require.Equal(t, Event{Revision: 5, Purge: &core.Purge{Group: 17, At: 1001}}, <-f.got)
	f.called() // it has fallen silent
	second := f.accept(5)
	f.write(second, frame(6, kindObject, 1, 2, 3)) // can't be read
	f.called()
	third := f.accept(5)
	f.write(third, frame(6, kindGroup, group(18, 1000)...)[:9])
	require.NoError(t, third.Close()) // broken off within an event, which counts only whole
	f.called()
	fourth := f.accept(5)
	require.Empty(t, f.got)
	f.write(fourth, frame(6, kindGroup, group(18, 1000)...))
	require.Equal(t, 18, (<-f.got).Purge.Group)
	f.left(first)
	s := f.client.Status()
	require.EqualValues(t, 2, s.Broken)
	require.EqualValues(t, 6, s.LastEvent)
}

// Two calls are open and both tell the same events: each is handed on once, and what the one that was overtaken still writes
// goes nowhere.
func TestTwoCallsTellTheSame(t *testing.T) {
	f := follow(t)
	first := f.accept(4)
	f.called()
	second := f.accept(4)
	both := append(frame(5, kindGroup, group(17, 1000)...), frame(6, kindGroup, group(18, 1000)...)...)
	f.write(second, both)
	require.EqualValues(t, 5, (<-f.got).Revision)
	require.EqualValues(t, 6, (<-f.got).Revision)
	_, _ = first.Write(both)
	f.write(second, frame(7, kindGroup, group(19, 1000)...))
	require.EqualValues(t, 7, (<-f.got).Revision)
	require.Empty(t, f.got)
}

// A watch that was open falls silent and each one after it too, without a frame: it is asked anew from the last number, until
// one tells what came meanwhile.
func TestSilentForGood(t *testing.T) {
	f := follow(t)
	for asked := range 6 {
		nc := f.accept(uint64(4 + min(asked, 1)))
		if asked == 0 || asked == 5 {
			f.write(nc, frame(uint64(5+asked), kindGroup, group(17, 1000)...))
			require.EqualValues(t, 5+asked, (<-f.got).Revision)
		}
		if asked < 5 {
			f.called()
		}
	}
}

// What discovery has written is waited for by whoever decides, once the last frame is as old as the grace: until it is in force, and
// not for as long as the board likes.
func TestCatchUp(t *testing.T) {
	f := follow(t)
	nc := f.accept(4)
	f.write(nc, frame(5, kindGroup, group(17, 1000)...))
	require.EqualValues(t, 5, (<-f.got).Revision)
	f.pass(func(s Status) bool { return s.SinceLastFrameMs >= 1100 })
	require.False(t, f.client.CatchUp(), "nothing was written")
	for rev := uint64(6); rev <= 20; rev++ { // more than are taken
		f.write(nc, frame(rev, kindGroup, group(17, 1000)...))
	}
	f.pass(func(s Status) bool { return s.LastEvent > 6 && s.SinceLastFrameMs >= 1100 })
	require.True(t, f.client.CatchUp(), "what is written is not in force")
	taken := make(chan bool)
	go func() {
		for rev := uint64(6); rev <= 20; rev++ {
			<-f.got
		}
		close(taken)
	}()
	require.Eventually(t, func() bool { return !f.client.CatchUp() }, time.Minute, time.Millisecond)
	<-taken
}

// What discovery holds may bind and has not been heard: that is said once, and that it is over.
func TestOverdueIsTold(t *testing.T) {
	f := follow(t)
	said := make(chan string, 10)
	f.client.OnOverdue, f.client.OnCurrent = func(float64) { said <- "overdue" }, func() { said <- "current" }
	nc := f.accept(4)
	f.pass(func(s Status) bool { return s.Overdue == 1 })
	require.Equal(t, "overdue", <-said)
	f.write(nc, frame(4, kindNothing))
	require.Equal(t, "current", <-said)
	require.Empty(t, said)
}

func TestKnown(t *testing.T) {
	names := Names{Zones: []string{"east"}, Kinds: []string{"std"}}
	notices, last, err := DecodeInitialEvents([]byte(`{"rev":2,"notices":[{"rev":1,"pool":{"reset":false,"instances":[
		{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:4100","zone":"east","machineType":"std","cell":2,
		"lifecycle":"draining","weight":4,"startedAtMs":5}]}},{"rev":2,"flush":{"asset":"7f3a9c21e0b4d655","ms":7}}]}`), names)
	require.NoError(t, err)
	require.EqualValues(t, 2, last)
	require.True(t, notices[0].Complete, "the first list is whole")
	m := notices[0].Members[0]
	require.Equal(t, policy.Member{ID: 0xc41f7a, Cell: 2, State: policy.Draining, Weight: 4, Started: 5e6}, m.Member)
	require.Equal(t, &core.Purge{Object: "7f3a9c21e0b4d655", Group: -1, At: 8}, notices[1].Purge)
	for _, bad := range []string{`[`, `{"notices":[{"pool":{"instances":[{"instanceId":"x"}]}}]}`,
		`{"notices":[{"pool":{"instances":[{"instanceId":"s-1","lifecycle":"up","zone":"west"}]}}]}`} {
		_, _, err := DecodeInitialEvents([]byte(bad), names)
		require.Error(t, err)
	}
}

// The stamps of what a board tells are read on this machine's clock: as they are while no clock steps, and as of now where
// they can't be; a server keeps the start that was read first.
func TestDated(t *testing.T) {
	const now, hour = 1_764_576_000_000.0, 3_600_000.0
	server := func(id policy.CacheID, started float64) core.Member {
		m := core.Member{}
		m.ID, m.Started = id, policy.Time(started*1e6)
		return m
	}
	r := timestamp.New(now)
	known := []Event{
		{Revision: 1, Complete: true, Members: []core.Member{server(1, 0), server(2, now-hour), server(3, now-2000)}},
		{Revision: 2, Purge: &core.Purge{Group: 17, At: now - 300 + 1}},
	}
	require.Equal(t, known, TranslateInitialEvents(known, r, now, 6000))
	r.Heartbeat(now + 1000)
	stepped := Event{Revision: 3, Purge: &core.Purge{Group: 17, At: now + 1200 - hour + 1}}
	require.Equal(t, now+1500+1, stepped.Translate(r, now+1500).Purge.At, "of a clock that was stepped back, and told now")
	list := Event{Revision: 4, Members: []core.Member{server(3, now-2000), server(4, now+500-hour)}}.Translate(r, now+1600)
	require.Equal(t, now-2000, ms(list.Members[0].Started))
	require.GreaterOrEqual(t, ms(list.Members[1].Started), now+500)
	require.LessOrEqual(t, ms(list.Members[1].Started), now+1600)
}
