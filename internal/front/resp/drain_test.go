package resp_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/front/resp"
	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
)

// newFront starts a front with 20 slots and connects a client for each name. Its actors are the clients and s, the cache server.
func newFront(t *testing.T, clients ...string) (*scenario.Proxy, *resp.Front, map[string]scenario.Actor) {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	f := resp.New(ln, 20, p.Clock, p.Core)
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.Close() })
	actors := map[string]scenario.Actor{"s": p.Cache}
	for _, n := range clients {
		actors[n] = scenario.Dial(t, ln.Addr().String())
	}
	return p, f, actors
}

// A draining proxy fails health checks, closes idle connections from CloseIdleFrom on, and answers open requests. It rejects
// requests that arrive from RejectFrom on at once, so that their connections become idle.
func TestDrainClosesIdleAndRejectsNewRequests(t *testing.T) {
	p, f, actors := newFront(t, "idle", "waiting", "busy", "partial")
	scenario.Run(t, p.Clock, actors, `
		idle send RPC.HEALTH 1
		idle expect 1 yes
		waiting send `+strings.Replace(assetCall, "900", "2500", 1)+`
		s expect fetch 00000000000000a1 * -
		busy send RPC.CALL 1 replay rid=00000000000000b1,budget=5000,obj=7f3a9c21e0b4d656,nth=0,batch=17
		s expect fetch 00000000000000b1 * -
		partial send RPC.HEALTH 1
		partial expect 1 yes
		partial send bytes *2`)
	now := p.Clock.Now()
	f.SetReady(false)
	f.SetDrainPlan(drain.Plan{Active: true, CloseIdleFrom: now + 300, RejectFrom: now + 700})
	scenario.Run(t, p.Clock, actors, `
		idle send RPC.HEALTH 2
		idle expect 2 no
		wait 290
		idle send RPC.HEALTH 3
		idle expect 3 no
		idle await closed
		waiting send RPC.HEALTH 4
		waiting expect 4 no
		s send 00000000000000a1 served why=local,version=v1 BYTES
		waiting expect 1 ok - BYTES
		waiting await closed
		wait 700
		busy send RPC.CALL 2 asset rid=00000000000000b2,budget=900,obj=7f3a9c21e0b4d657,nth=0,batch=17
		busy expect 2 full backoff=500
		s send 00000000000000b1 served why=local,version=v1 BYTES
		busy expect 1 ok - BYTES
		busy await closed
		partial await closed`)
	require.EqualValues(t, 1, p.Core.Counters.NeverSent.Load())
	f.SetDrainPlan(drain.Plan{})
	f.SetReady(true)
	end := p.Clock.Now() + 5000
	for f.OpenConns() > 0 && p.Clock.Now() < end { // until the lingering connections have timed out
		p.Clock.Advance(10)
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, f.OpenConns())
}

// A slow reader gets all of its answer before a draining proxy closes its connection.
func TestDrainLosesNoBytesOfSlowReader(t *testing.T) {
	p, f, actors := newFront(t)
	nc, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer nc.Close()
	body := strings.Repeat("x", 200_000)
	_, err = nc.Write(frames.AppendFrame(nil, strings.Fields(strings.Replace(assetCall, "900", "2000", 1))...))
	require.NoError(t, err)
	scenario.Run(t, p.Clock, actors, `
		s expect fetch 00000000000000a1 * -
		s send $id served why=local,version=v1 `+body)
	require.Eventually(t, f.Idle, time.Minute, time.Millisecond, "the front has written the whole answer to its socket")
	f.SetDrainPlan(drain.Plan{Active: true})
	p.Clock.Advance(20)
	_, _ = nc.Write(frames.AppendFrame(nil, "RPC.HEALTH", "3")) // arrives after the front has closed its side
	total := 0
	buf := make([]byte, 8192)
	for {
		n, err := nc.Read(buf)
		if total += n; err != nil {
			break
		}
		time.Sleep(100 * time.Microsecond)
	}
	require.Greater(t, total, len(body))
}

// A front that leaves new connections to another process keeps its open connections, and later accepts new ones again.
func TestSetAcceptingKeepsOpenConnections(t *testing.T) {
	p, f, actors := newFront(t, "open")
	exchange := `
		open send RPC.HEALTH 1
		open expect 1 yes`
	scenario.Run(t, p.Clock, actors, exchange)
	f.SetAccepting(false)
	f.SetAccepting(false)
	// One more connection may be accepted, by an Accept that checked its deadline before SetAccepting set it.
	actors["accepted"] = scenario.Dial(t, f.Addr())
	actors["queued"] = scenario.Dial(t, f.Addr())
	scenario.Run(t, p.Clock, actors, `
		queued send RPC.HEALTH 1`+exchange)
	require.LessOrEqual(t, f.OpenConns(), 2)
	f.SetAccepting(true)
	scenario.Run(t, p.Clock, actors, `
		queued expect 1 yes`)
	f.SetAccepting(false)
	require.NoError(t, f.Close(), "closing a front that does not accept connections")
}
