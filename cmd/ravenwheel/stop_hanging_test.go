package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// Servers do not respond when the process gets SIGTERM, with or without a process that takes over: each request on an open
// connection is answered before the earliest SIGKILL, also one with a longer budget.
func TestStopAnswersRequestsOfHangingServers(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken over %v", takenOver), func(t *testing.T) {
			p := scenario.NewProxy(t)
			servers := startServers(t, p, fleet.Options{Clock: p.Clock, TransferTime: 5, FillTime: 5})
			ln, err := net.Listen("tcp", scenario.Loopback())
			require.NoError(t, err)
			front := resp.New(ln, 100, p.Clock, p.Core)
			go func() { _ = front.Serve() }()
			defer front.Close()
			conf := &config.Config{Settings: scenario.Settings()}
			controller := control.New(control.Options{Clock: p.Clock, MaxConns: 100, AnswerWithinMs: answerWithinMs(conf), Stop: func() {}})
			controller.Attach(front, nil, nil)
			controller.SetOwner(true)
			controller.SetAccepting(true)
			c := scenario.Dial(t, front.Addr())
			sent := 0
			send := func(budget int) {
				sent++
				require.NoError(t, c.Send([]string{"RPC.CALL", fmt.Sprint(sent), "replay",
					fmt.Sprintf("rid=%016x,budget=%d,obj=%016x,nth=0,batch=17", sent, budget, sent)}))
				require.Eventually(t, func() bool { return p.Core.Counters.Requests.Load() == int64(sent) }, time.Minute, time.Millisecond)
			}
			send(2500)
			require.Eventually(t, func() bool { p.Clock.Advance(10); return p.Core.Counters.Served.Load() == 1 }, time.Minute, time.Millisecond)
			_, err = c.Receive()
			require.NoError(t, err)
			// The server answered a moment ago, so the proxy still sends requests to it after some seconds of silence.
			servers.Server(scenario.CacheID).SetFault(fleet.Fault{Unresponsive: true})
			send(2500)
			p.Clock.Advance(100)
			if takenOver {
				controller.SetOwner(false)
			}
			require.Equal(t, takenOver, controller.Stop())
			began := p.Clock.Now()
			for range 6 { // the connection always has an open request and stays open; the budget of each request is 5 s
				send(5000)
				p.Clock.Advance(100)
			}
			kill := began + 3000 + killGraceMs
			got := make(chan []string)
			go func() {
				for range sent - 1 {
					words, err := c.Receive()
					if err != nil {
						words = []string{"", err.Error()}
					}
					got <- words
				}
			}()
			for left := sent - 1; left > 0; {
				select {
				case words := <-got:
					left--
					require.Equal(t, "full", words[1], words)
				case <-time.After(2 * time.Millisecond):
					p.Clock.Advance(10)
				}
			}
			require.Less(t, p.Clock.Now(), kill, "all requests must be answered before SIGKILL")
		})
	}
}

// busyClient is a client that always has open requests on its only connection, until the connection ends.
type busyClient struct {
	conn         *scenario.Client
	sent, served int
	open         int // requests without an answer
	ended        bool
}

// maxOpenRequests is the maximum of a busyClient's open requests.
const maxOpenRequests = 3

// step reads the answers that have arrived, and sends another request if asks is set and fewer than maxOpenRequests are open.
func (r *busyClient) step(t *testing.T, n int, asks bool) {
	for !r.ended {
		words, err := r.conn.TryReceive()
		require.NoError(t, err)
		if words == nil {
			break
		}
		if r.ended = words[0] == "closed"; r.ended {
			return
		}
		require.Contains(t, []string{"ok", "full", "fault"}, words[1], words)
		if words[1] == "ok" {
			r.served++
		}
		r.open--
	}
	if asks && r.open < maxOpenRequests {
		r.open++
		r.sent++
		_ = r.conn.Send([]string{"RPC.CALL", fmt.Sprint(r.sent), "asset", // the connection may have ended
			fmt.Sprintf("rid=%08x%08x,budget=%d,obj=%016x,nth=0,batch=17", n, r.sent, 250, r.sent%50)})
	}
}

// The longest deadline is short, so SIGKILL follows soon: 0.7 s plus the longest deadline, counted as at most 3 s, after SIGTERM.
// Clients always have open requests on their connections, and some servers do not respond. Before SIGKILL each request must be
// answered, and each connection closed between two requests.
func TestStopWithShortDeadlinesAnswersAll(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, servers hang %v", deadline, hangs), func(t *testing.T) {
				p := scenario.NewProxy(t)
				settings := scenario.Settings()
				for i := range settings.Classes {
					settings.Classes[i].Deadline, settings.Classes[i].LatencyObjective = deadline, deadline/3
				}
				servers := fleet.New(fleet.Options{Clock: p.Clock, TransferTime: 25, FillTime: 10})
				defer servers.Close()
				list := make([]core.Member, 3)
				for i, id := range []policy.ServerID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
					server, err := servers.Start(id, fleet.Role(i), "127.0.0.1:0")
					require.NoError(t, err)
					list[i].Addr, list[i].ID, list[i].Kind, list[i].Weight = server.Addr(), id, i, 10
				}
				pools := upstream.New(p.Clock, upstream.Limits{AttemptsPerConn: 100, ConnsPerServer: 4, ConnectTimeout: 400, IdleTimeout: 30_000})
				c, err := core.New(settings, []string{"replay", "asset", "seat-claim"}, 0, 7, p.Clock, pools)
				require.NoError(t, err)
				c.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
				ln, err := net.Listen("tcp", scenario.Loopback())
				require.NoError(t, err)
				front := resp.New(ln, 100, p.Clock, c)
				go func() { _ = front.Serve() }()
				defer front.Close()
				conf := &config.Config{Settings: settings}
				controller := control.New(control.Options{Clock: p.Clock, MaxConns: 100, AnswerWithinMs: answerWithinMs(conf), Stop: func() {}})
				controller.Attach(front, nil, nil)
				controller.SetOwner(true)
				controller.SetAccepting(true)
				var clients []*busyClient
				for range 6 {
					clients = append(clients, &busyClient{conn: scenario.Dial(t, front.Addr())})
				}
				// advance has the clients read and send, gives real time to the sockets, and then advances the clock by 10 ms.
				advance := func() {
					for turn := range 5 {
						for n, r := range clients {
							if !r.ended {
								r.step(t, n, turn == 0)
							}
						}
						time.Sleep(200 * time.Microsecond)
					}
					p.Clock.Advance(10)
				}
				for range 20 {
					advance()
				}
				if hangs {
					servers.Server(scenario.CacheID).SetFault(fleet.Fault{Unresponsive: true})
				}
				began, kill := p.Clock.Now(), min(3000, clock.Ms(deadline))+700
				require.False(t, controller.Stop())
				for p.Clock.Now() < began+600 {
					advance()
				}
				for n, r := range clients {
					require.False(t, r.ended, "client %d: its connection must stay open until 0.6 s after SIGTERM", n)
				}
				for p.Clock.Now() < began+kill-20 {
					advance()
				}
				for n, r := range clients {
					require.True(t, r.ended, "client %d has sent %d requests, of which %d were served, and is still connected when SIGKILL may come", n, r.sent, r.served)
				}
			})
		}
	}
}
