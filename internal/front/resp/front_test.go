package resp_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/core"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/scenario"
)

const (
	assetCall = "RPC.CALL 1 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17,mem=40"
	claimCall = "RPC.CALL 1 seat-claim rid=00000000000000b1,budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17,mem=4 seat9"
)

// In the scenarios, c, d, e and f are clients, and s is the cache server.
var scenarios = map[string]string{
	"served, in any order": `
		c send ` + assetCall + `
		s expect fetch 00000000000000a1 lane=asset,name=7f3a9c21e0b4d655,piece=0,ttl=900,fetch=s-0000000b,retain=1 -
		c send RPC.CALL 2 replay rid=00000000000000a2,budget=900,obj=7f3a9c21e0b4d655,nth=3,batch=17,got=v7
		s expect fetch 00000000000000a2 lane=replay,name=7f3a9c21e0b4d655,piece=3,*,holds=v7 -
		s send 00000000000000a2 still_good why=local,version=v7
		c expect 2 ok ok304=1 -
		s send 00000000000000a1 served why=pulled,version=v1,stamp=1,took=3.5 BYTES
		c expect 1 ok - BYTES`,
	// Only a cache server may say that the client's copy is current.
	"a copy is called current only if a cache server names the same version": `
		c send RPC.CALL 1 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17,got=v7
		s expect fetch * *,holds=v7 -
		s send $id still_good why=local,version=v8
		s expect fetch * *,holds=v7 -
		s send $id served why=local,version=v8 BYTES
		c expect 1 ok - BYTES
		c send RPC.CALL 2 asset rid=00000000000000a2,budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17
		s expect fetch * * -
		s send $id still_good why=local,version=v8
		s expect fetch * * -
		s send $id still_good why=local
		c expect 2 full backoff=*`,
	"health check and unknown command": `
		c send RPC.HEALTH 8
		c expect 8 yes
		c send RPC.OTHER 9 x
		c expect 9 fault`,
	"a request with an invalid field gets one answer": `
		c send RPC.CALL 1 asset rid=zz,budget=900,obj=7f3a9c21e0b4d655
		c expect 1 fault
		c send RPC.CALL 2 nosuch rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655
		c expect 2 fault
		c send RPC.CALL 3 asset rid=00000000000000a1,budget=NaN,obj=7f3a9c21e0b4d655
		c expect 3 fault
		c send RPC.CALL 4 asset =,
		c expect 4 fault
		c send RPC.CALL 5 asset rid=00000000000000a1,budget=2501,obj=7f3a9c21e0b4d655
		c expect 5 fault
		c send RPC.CALL 6 asset rid=00000000000000a1,budget=0,obj=7f3a9c21e0b4d655
		c expect 6 fault
		c send RPC.CALL 7 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,batch=256
		c expect 7 fault
		c send RPC.CALL 8 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,got=v\r\n
		c expect 8 fault
		c send RPC.CALL 9 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655 body
		c expect 9 fault
		c send RPC.CALL 10 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,token=a\r\n
		c expect 10 fault`,
	// Without the key a cache server could not tell a retry from a new request.
	"the client's idempotency key goes with every attempt": `
		c send RPC.CALL 1 asset rid=00000000000000a1,budget=900,acct=club,token=28ca688e,obj=7f3a9c21e0b4d655,nth=0,batch=17
		s expect fetch 00000000000000a1 *,dedupe=28ca688e -
		s send $id crashed
		s expect fetch 00000000000000a1 *,dedupe=28ca688e -
		s send $id served why=local,version=v1 BYTES
		c expect 1 ok - BYTES`,
	// redcon's reader would panic on this length. The front ends the connection first, and other connections stay open.
	"an unreadable frame ends only its own connection": `
		c send line *2\r\n$9223372036854775807
		c expect closed
		d send RPC.HEALTH 8
		d expect 8 yes`,
	// Silent connections would occupy all slots. A connection that was answered, or waits for an answer, may stay.
	"silent connections and partial frames are closed within 3 s, others stay open": `
		d send bytes $
		e send RPC.HEALTH 8
		e expect 8 yes
		f send ` + strings.Replace(assetCall, "900", "2500", 1) + `
		s expect fetch * * -
		f send bytes *
		wait 1000
		s send $id crashed
		s expect fetch * * -
		wait 1000
		c expect closed
		s send $id served why=local,version=v1 BYTES
		f expect 1 ok - BYTES
		wait 700
		d expect closed
		e send RPC.HEALTH 9
		e expect 9 yes
		f await closed
		e send RPC.HEALTH 10
		e expect 10 yes`,
	"a frame whose header announces more than a client may send is rejected at the header": `
		c send line *2\r\n$60000000
		c expect closed`,
	"the tag of an open request can't be used again": `
		c send ` + assetCall + `
		s expect fetch * * -
		c send ` + assetCall + `
		c expect closed
		s expect abort $id`,
	"a cancelled request gets no answer, and its attempt is aborted": `
		c send ` + assetCall + `
		s expect fetch * * -
		c send RPC.CANCEL 1
		s expect abort $id
		s send $id served why=local,version=v1 LATE
		c send RPC.HEALTH 8
		c expect 8 yes`,
	"a server that does not respond: one final answer at the deadline, with a back-off": `
		c send ` + assetCall + `
		s expect fetch * * -
		wait 900
		c expect 1 full backoff=*
		s expect abort $id`,
	"a write whose connection to the server breaks is not sent again": `
		c send ` + claimCall + `
		s expect fetch 00000000000000b1 lane=seat-claim,*,fetch=s-00000014 seat9
		s close
		c expect 1 fault`,
	"a write that was never sent may be rejected": `
		s close
		c send ` + claimCall + `
		c expect 1 full backoff=*`,
	"a read that fails with a crash is retried": `
		c send ` + assetCall + `
		s expect fetch * * -
		s send $id crashed
		s expect fetch * * -
		s send $id served why=local,version=v1 BYTES
		c expect 1 ok - BYTES`,
	"an unreadable frame from a server counts as a reset": `
		c send ` + claimCall + `
		s expect fetch * * seat9
		s send $id served notafield
		c expect 1 fault`,
}

// When all slots are taken, the connection that has been silent longest is closed first, then the one that has been idle longest,
// but none that waits for an answer.
func TestFullFrontClosesLongestSilent(t *testing.T) {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	f := resp.New(ln, 3, p.Clock, p.Core)
	go func() { _ = f.Serve() }()
	defer f.Close()
	actors := map[string]scenario.Actor{"s": p.Cache}
	dial := func(name string) { actors[name] = scenario.Dial(t, ln.Addr().String()) }
	play := func(script string) { scenario.Run(t, p.Clock, actors, script) }
	dial("idle")
	play(`
		idle send RPC.HEALTH 1
		idle expect 1 yes
		wait 1`)
	// The client may have the answer before the front has recorded that it is written. Until then the connection is not closed.
	require.Eventually(t, f.Idle, time.Minute, time.Millisecond)
	dial("silent")
	dial("waiting")
	play(`
		waiting send ` + assetCall + `
		s expect fetch * * -
		wait 100`)
	dial("new")
	play(`
		silent expect closed
		new send RPC.HEALTH 1
		new expect 1 yes`)
	dial("last")
	play(`
		idle expect closed
		last send RPC.HEALTH 1
		last expect 1 yes
		s send 00000000000000a1 served why=local,version=v1 BYTES
		waiting expect 1 ok - BYTES`)
	require.EqualValues(t, 1, p.Core.Counters.UnansweredConns.Load(), "only the silent connection had no answer")
}

func TestFrontScenarios(t *testing.T) {
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			ln, err := net.Listen("tcp", scenario.Loopback())
			require.NoError(t, err)
			f := resp.New(ln, 10, p.Clock, p.Core)
			go func() { _ = f.Serve() }()
			defer f.Close()
			scenario.Run(t, p.Clock, map[string]scenario.Actor{
				"c": scenario.Dial(t, ln.Addr().String()), "d": scenario.Dial(t, ln.Addr().String()),
				"e": scenario.Dial(t, ln.Addr().String()), "f": scenario.Dial(t, ln.Addr().String()), "s": p.Cache,
			}, script)
			require.Zero(t, invariant.Violations())
			n := &p.Core.Counters
			require.LessOrEqual(t, n.Served.Load()+n.Rejected.Load()+n.Failed.Load()+n.Abandoned.Load(), n.Requests.Load())
		})
	}
}

var _ resp.RequestHandler = (*core.Core)(nil)

// A proxy that has just started has no record of any copy, but forwards the client's tag all the same.
func TestClientTagIsSentAfterRestart(t *testing.T) {
	script := `
		c send RPC.CALL 1 asset rid=00000000000000a1,budget=900,obj=7f3a9c21e0b4d655,nth=0,batch=17,got=v7
		s expect fetch 00000000000000a1 *,holds=v7 -
		s send $id still_good why=local,version=v7
		c expect 1 ok ok304=1 -`
	for range 2 {
		p := scenario.NewProxy(t)
		ln, err := net.Listen("tcp", scenario.Loopback())
		require.NoError(t, err)
		f := resp.New(ln, 10, p.Clock, p.Core)
		go func() { _ = f.Serve() }()
		scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": scenario.Dial(t, ln.Addr().String()), "s": p.Cache}, script)
		require.NoError(t, f.Close())
	}
}
