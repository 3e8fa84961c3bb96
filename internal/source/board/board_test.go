package board

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/stamps"
	"ravenwheel/policy"
)

func frame(rev uint64, kind byte, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, rev), kind), payload...)
}

func group(n uint16, ms uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint16(nil, n), ms)
}

// follow has a client that knows four events follow a board. accept is the board's next connection, which asks for what comes
// after a number; got are the events that the client hands on.
func follow(t *testing.T, silence time.Duration) (accept func(want uint64) net.Conn, got chan Notice) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	got = make(chan Notice, 10)
	c := Client{
		Addr: ln.Addr().String(), Last: 4, Silence: silence, Redial: time.Millisecond, Notice: func(n Notice) { got <- n },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); ln.Close() })
	go c.Run(ctx)
	return func(want uint64) net.Conn {
		nc, err := ln.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { nc.Close() })
		var last uint64
		require.NoError(t, binary.Read(nc, binary.BigEndian, &last))
		require.Equal(t, want, last)
		return nc
	}, got
}

// A board that falls silent, sends what can't be read, or an event twice: the client dials again with the
// last number it has, and hands on each event once.
func TestClientDialsAgain(t *testing.T) {
	accept, got := follow(t, 2*time.Second)
	nc := accept(4)
	_, err := nc.Write(append(frame(5, kindGroup, group(17, 1000)...), frame(5, kindGroup, group(17, 1000)...)...))
	require.NoError(t, err)
	require.Equal(t, Notice{Rev: 5, Purge: &core.Purge{Group: 17, At: 1001}}, <-got)
	nc = accept(5) // silence ended the first connection
	_, err = nc.Write(frame(6, kindObject, 1, 2, 3))
	require.NoError(t, err)
	nc = accept(5) // what can't be read ended the second
	_, err = nc.Write(frame(6, kindGroup, group(18, 1000)...)[:9])
	require.NoError(t, err)
	require.NoError(t, nc.Close())
	nc = accept(5) // it broke off within an event, which counts only whole
	require.Empty(t, got)
	_, err = nc.Write(frame(6, kindGroup, group(18, 1000)...))
	require.NoError(t, err)
	require.Equal(t, 18, (<-got).Purge.Group)
}

// A fleet whose board broke off dialled again every 100 ms, all in the same moment. Now the calls thin out and spread,
// from one proxy to hundreds, and one that hears again starts from the short pause.
func TestManyAskAgain(t *testing.T) {
	const redial, from, to = 100 * time.Millisecond, 10 * time.Second, 40 * time.Second
	for _, proxies := range []int{1, 80, 400} {
		calls := map[time.Duration]int{} // by 50 ms
		for seed := range proxies {
			again := (&Client{Redial: redial, Seed: uint64(seed)}).redials()
			for at := again(false); at < to; at += again(false) {
				if at >= from {
					calls[at/(50*time.Millisecond)]++
				}
			}
			require.LessOrEqual(t, again(true), redial*3/2)
		}
		all, most := 0, 0
		for _, n := range calls {
			all, most = all+n, max(most, n)
		}
		require.InDelta(t, 30/1.6*float64(proxies), all, 5*float64(proxies)) // one in 1.6 s each
		require.LessOrEqual(t, most, 3+proxies/8, "of %d proxies in 50 ms", proxies)
	}
}

// All watches fall silent in one instant, and stay so: the calls of a fleet come spread over a second, once in some seconds
// each, for as long as it lasts. Once they all came within a tenth of a second.
func TestAllFallSilent(t *testing.T) {
	const proxies, silence, redial = 300, 2500 * time.Millisecond, 100 * time.Millisecond
	calls := map[time.Duration]int{} // by 50 ms
	for seed := range proxies {
		c := &Client{Silence: silence, Redial: redial, Seed: uint64(seed)}
		again := c.redials()
		require.GreaterOrEqual(t, c.patience(), 2*time.Second, "a frame that is a second late is no silence")
		for at := c.patience() + again(true); at < 20*time.Second; at += c.patience() + again(false) {
			calls[at/(50*time.Millisecond)]++
		}
	}
	most := 0
	for _, n := range calls {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, proxies/8, "in 50 ms")
}

// A watch that was open falls silent and each one after it too, without a frame: it is asked anew from the last number, until
// one tells what came meanwhile.
func TestSilentForGood(t *testing.T) {
	accept, got := follow(t, 50*time.Millisecond)
	for asked := range 6 {
		nc := accept(uint64(4 + min(asked, 1)))
		if asked == 0 || asked == 5 {
			_, err := nc.Write(frame(uint64(5+asked), kindGroup, group(17, 1000)...))
			require.NoError(t, err)
			require.EqualValues(t, 5+asked, (<-got).Rev)
		}
	}
}

func TestKnown(t *testing.T) {
	names := Names{Zones: []string{"east"}, Kinds: []string{"std"}}
	notices, last, err := Known([]byte(`{"rev":2,"notices":[{"rev":1,"pool":{"reset":false,"instances":[
		{"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:4100","zone":"east","machineType":"std","cell":2,
		"lifecycle":"draining","weight":4,"startedAtMs":5}]}},{"rev":2,"flush":{"asset":"7f3a9c21e0b4d655","ms":7}}]}`), names)
	require.NoError(t, err)
	require.EqualValues(t, 2, last)
	require.True(t, notices[0].Whole, "the first list is whole")
	m := notices[0].Members[0]
	require.Equal(t, policy.Member{ID: 0xc41f7a, Cell: 2, State: policy.Draining, Weight: 4, Started: 5e6}, m.Member)
	require.Equal(t, &core.Purge{Object: "7f3a9c21e0b4d655", Group: -1, At: 8}, notices[1].Purge)
	for _, bad := range []string{`[`, `{"notices":[{"pool":{"instances":[{"instanceId":"x"}]}}]}`,
		`{"notices":[{"pool":{"instances":[{"instanceId":"s-1","lifecycle":"up","zone":"west"}]}}]}`} {
		_, _, err := Known([]byte(bad), names)
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
	r := stamps.New(now)
	known := []Notice{
		{Rev: 1, Whole: true, Members: []core.Member{server(1, 0), server(2, now-hour), server(3, now-2000)}},
		{Rev: 2, Purge: &core.Purge{Group: 17, At: now - 300 + 1}},
	}
	require.Equal(t, known, DatedKnown(known, r, now, 6000))
	r.Heard(now + 1000)
	stepped := Notice{Rev: 3, Purge: &core.Purge{Group: 17, At: now + 1200 - hour + 1}}
	require.Equal(t, now+1500+1, stepped.Dated(r, now+1500).Purge.At, "of a clock that was stepped back, and told now")
	list := Notice{Rev: 4, Members: []core.Member{server(3, now-2000), server(4, now+500-hour)}}.Dated(r, now+1600)
	require.Equal(t, now-2000, ms(list.Members[0].Started))
	require.GreaterOrEqual(t, ms(list.Members[1].Started), now+500)
	require.LessOrEqual(t, ms(list.Members[1].Started), now+1600)
}
