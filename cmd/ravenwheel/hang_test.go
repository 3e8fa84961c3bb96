package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/desk"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// Servers hang when the process is told to end, alone or with its clients passed to another one: whatever clients ask on
// connections that they hold gets its one answer before SIGKILL can come, also what has more time than that.
func TestStopWhileServersHang(t *testing.T) {
	for _, passed := range []bool{false, true} {
		t.Run(fmt.Sprintf("passed %v", passed), func(t *testing.T) {
			p := scenario.NewProxy(t)
			servers := fleet.New(fleet.Options{Clock: p.Clock, Serve: 5, Fill: 5})
			defer servers.Close()
			list := make([]core.Member, 3)
			for i, id := range []policy.CacheID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
				server, err := servers.Start(id, fleet.Role(i), "127.0.0.1:0")
				require.NoError(t, err)
				list[i].Addr, list[i].ID, list[i].Kind, list[i].Weight = server.Addr(), id, i, 10
			}
			p.Core.Members(membership.Publish{Version: 2, Whole: true, Members: list})
			ln, err := net.Listen("tcp", scenario.Loopback())
			require.NoError(t, err)
			front := resp.New(ln, 100, p.Clock, p.Core)
			go func() { _ = front.Serve() }()
			defer front.Close()
			conf := &config.Config{Settings: scenario.Settings()}
			d := desk.New(desk.Options{Clock: p.Clock, Conns: 100, AnswerWithin: killed(conf), Stop: func() {}})
			d.Serve(front, nil, nil)
			d.Owns(true)
			d.Accept(true)
			c := scenario.Dial(t, front.Addr())
			asked := 0
			ask := func(budget int) {
				asked++
				require.NoError(t, c.Send([]string{"RPC.CALL", fmt.Sprint(asked), "replay",
					fmt.Sprintf("rid=%016x,budget=%d,obj=%016x,nth=0,batch=17", asked, budget, asked)}))
				require.Eventually(t, func() bool { return p.Core.Counters.Requests.Load() == int64(asked) }, time.Minute, time.Millisecond)
			}
			ask(2500)
			require.Eventually(t, func() bool { p.Clock.Advance(10); return p.Core.Counters.Served.Load() == 1 }, time.Minute, time.Millisecond)
			_, err = c.Receive()
			require.NoError(t, err)
			// It answered a moment ago: some seconds of silence are no reason yet to send elsewhere.
			servers.Server(scenario.CacheID).Set(fleet.Fault{Silent: true})
			ask(2500)
			p.Clock.Advance(100)
			if passed {
				d.Owns(false)
			}
			require.Equal(t, passed, d.Stop())
			began := p.Clock.Now()
			for range 6 { // the connection owes an answer all the time, and stays; each could wait for 5 s
				ask(5000)
				p.Clock.Advance(100)
			}
			kill := began + 3000 + killAfter
			got := make(chan []string)
			go func() {
				for range asked - 1 {
					words, err := c.Receive()
					if err != nil {
						words = []string{"", err.Error()}
					}
					got <- words
				}
			}()
			for left := asked - 1; left > 0; {
				select {
				case words := <-got:
					left--
					require.Equal(t, "full", words[1], words)
				case <-time.After(2 * time.Millisecond):
					p.Clock.Advance(10)
				}
			}
			require.Less(t, p.Clock.Now(), kill, "nothing is left to SIGKILL")
		})
	}
}
