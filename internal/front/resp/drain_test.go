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

// A draining proxy fails health checks, closes idle connections from CloseIdleFrom on, and answers open requests. A request that arrives
// after RejectFrom is rejected at once, so that its connection becomes idle.
func TestDrainClosesIdleAndRejectsNewRequests(t *testing.T) {
	p, f, actors := newFront(t, "rests", "waits", "busy", "half")
	scenario.Run(t, p.Clock, actors, `
		rests send RPC.HEALTH 1
		rests expect 1 yes
		waits send `+strings.Replace(asset, "900", "2500", 1)+`
		s expect fetch 00000000000000a1 * -
		busy send RPC.CALL 1 replay rid=00000000000000b1,budget=5000,obj=7f3a9c21e0b4d656,nth=0,batch=17
		s expect fetch 00000000000000b1 * -
		half send RPC.HEALTH 1
		half expect 1 yes
		half send bytes *2`)
	now := p.Clock.Now()
	f.SetReady(false)
	f.SetDrainPlan(drain.Plan{Active: true, CloseIdleFrom: now + 300, RejectFrom: now + 700})
	scenario.Run(t, p.Clock, actors, `
		rests send RPC.HEALTH 2
		rests expect 2 no
		wait 290
		rests send RPC.HEALTH 3
		rests expect 3 no
		rests await closed
		waits send RPC.HEALTH 4
		waits expect 4 no
		s send 00000000000000a1 served why=local,version=v1 BYTES
		waits expect 1 ok - BYTES
		waits await closed
		wait 700
		busy send RPC.CALL 2 asset rid=00000000000000b2,budget=900,obj=7f3a9c21e0b4d657,nth=0,batch=17
		busy expect 2 full backoff=500
		s send 00000000000000b1 served why=local,version=v1 BYTES
		busy expect 1 ok - BYTES
		busy await closed
		half await closed`)
	require.EqualValues(t, 1, p.Core.Counters.NeverSent.Load())
	f.SetDrainPlan(drain.Plan{})
	f.SetReady(true)
	end := p.Clock.Now() + 5000
	for f.OpenConns() > 0 && p.Clock.Now() < end { // the lingering connections end
		p.Clock.Advance(10)
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, f.OpenConns())
}

// A slow reader gets all of its answer before its connection ends.
func TestDrainLosesNoBytesOfSlowReader(t *testing.T) {
	p, f, actors := newFront(t)
	nc, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer nc.Close()
	body := strings.Repeat("x", 200_000)
	_, err = nc.Write(frames.AppendFrame(nil, strings.Fields(strings.Replace(asset, "900", "2000", 1))...))
	require.NoError(t, err)
	scenario.Run(t, p.Clock, actors, `
		s expect fetch 00000000000000a1 * -
		s send $id served why=local,version=v1 `+body)
	require.Eventually(t, f.Idle, time.Minute, time.Millisecond, "written, as far as this side knows")
	f.SetDrainPlan(drain.Plan{Active: true})
	p.Clock.Advance(20)
	_, _ = nc.Write(frames.AppendFrame(nil, "RPC.HEALTH", "3")) // crosses the close
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

// A front that leaves new connections to another process keeps its open ones, and accepts new ones again afterwards.
func TestSetAcceptingKeepsOpenConnections(t *testing.T) {
	p, f, actors := newFront(t, "held")
	exchange := `
		held send RPC.HEALTH 1
		held expect 1 yes`
	scenario.Run(t, p.Clock, actors, exchange)
	f.SetAccepting(false)
	f.SetAccepting(false)
	// One more may be accepted, by an accept that had checked its deadline before it was set: it is served here.
	actors["slips"] = scenario.Dial(t, f.Addr())
	actors["queued"] = scenario.Dial(t, f.Addr())
	scenario.Run(t, p.Clock, actors, `
		queued send RPC.HEALTH 1`+exchange)
	require.LessOrEqual(t, f.OpenConns(), 2)
	f.SetAccepting(true)
	scenario.Run(t, p.Clock, actors, `
		queued expect 1 yes`)
	f.SetAccepting(false)
	require.NoError(t, f.Close(), "a front that does not accept can be closed")
}
