package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// New connections arrive for 0.4 s after SIGTERM, and requests on open connections for 0.2 s more. All requests are answered before
// the program ends, although servers are slow: none is rejected without being sent, and no connection is closed without an answer.
func TestStopUnderLoadAnswersAll(t *testing.T) {
	p := scenario.NewProxy(t)
	servers := startServers(t, p, fleet.Options{Clock: p.Clock, TransferTime: 40, FillTime: 20})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	front := resp.New(ln, 100, p.Clock, p.Core)
	go func() { _ = front.Serve() }()
	began := p.Clock.Now()
	conf := &config.Config{Settings: scenario.Settings()}
	controller := control.New(control.Options{Clock: p.Clock, MaxConns: 100, AnswerWithinMs: answerWithinMs(conf), Stop: func() {}})
	controller.Attach(front, nil, nil)
	controller.SetOwner(true)
	controller.SetAccepting(true)
	ended := make(chan struct{})
	servicesStopped := false
	go func() {
		shutDown(p.Clock, front, conf, func(context.Context) { servicesStopped = true }, controller.Stop)
		close(ended)
	}()
	var clients []*scenario.Client
	sent := map[*scenario.Client]int{}
	for at := 0.0; at < 600; at += 10 {
		if at == 570 { // the requests from here on are open when the front closes
			servers.Server(scenario.CacheID).SetFault(fleet.Fault{ExtraLatency: 300})
		}
		c := clients
		if at < 400 {
			clients = append(clients, scenario.Dial(t, ln.Addr().String()))
			c = clients[len(clients)-1:]
		}
		to := c[int(at)%len(c)]
		sent[to]++
		require.NoError(t, to.Send([]string{"RPC.CALL", fmt.Sprint(sent[to]), "asset",
			fmt.Sprintf("rid=%016x,budget=2500,obj=%016x,nth=0,batch=17", int(at)+1, int(at)+1)}))
		require.Eventually(t, func() bool { return p.Core.Counters.Requests.Load() == int64(at/10)+1 }, time.Minute, time.Millisecond)
		p.Clock.Advance(10)
	}
	awaitEnd(t, p.Clock, ended)
	require.GreaterOrEqual(t, p.Clock.Now(), began+control.CloseIdleAfterStop)
	require.Less(t, p.Clock.Now(), began+5000+killGraceMs, "the program must end before SIGKILL")
	require.True(t, servicesStopped)
	require.Zero(t, front.OpenConns(), "connections that are open when the process ends would be reset, and unread data lost")
	for c, n := range sent {
		for range n {
			words, err := c.Receive()
			require.NoError(t, err)
			require.Equal(t, "ok", words[1], words)
		}
	}
	n := &p.Core.Counters
	require.EqualValues(t, 60, n.Served.Load())
	require.Zero(t, n.NeverSent.Load()+n.UnansweredConns.Load())
	require.Zero(t, invariant.Violations())
}

// blockedListener is a listener whose Accept fails with ENFILE while it is blocked, as if the system were out of descriptors.
type blockedListener struct {
	*net.TCPListener
	blocked atomic.Bool
}

func (h *blockedListener) Accept() (net.Conn, error) {
	if h.blocked.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENFILE}
	}
	return h.TCPListener.Accept()
}

// The front can't accept connections when the program gets SIGTERM. The requests on connections in the listener's queue are
// answered before the listener is closed.
func TestStopAnswersListenerQueue(t *testing.T) {
	p := scenario.NewProxy(t)
	tcp, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	ln := &blockedListener{TCPListener: tcp.(*net.TCPListener)}
	ln.blocked.Store(true)
	front := resp.New(ln, 100, p.Clock, p.Core)
	go func() { _ = front.Serve() }()
	conf := &config.Config{Settings: scenario.Settings()}
	controller := control.New(control.Options{Clock: p.Clock, MaxConns: 100, AnswerWithinMs: answerWithinMs(conf), Stop: func() {}})
	controller.Attach(front, nil, nil)
	controller.SetOwner(true)
	controller.SetAccepting(true)
	c := scenario.Dial(t, front.Addr())
	require.NoError(t, c.Send([]string{"RPC.CALL", "1", "asset", "rid=00000000000000a1,budget=2500,obj=7f3a9c21e0b4d655,nth=0,batch=17"}))
	ended := make(chan struct{})
	go func() {
		shutDown(p.Clock, front, conf, func(context.Context) {}, controller.Stop)
		close(ended)
	}()
	for range 110 { // beyond the time at which the listener would be closed without a queue
		p.Clock.Advance(10)
		time.Sleep(200 * time.Microsecond)
	}
	ln.blocked.Store(false)
	var words []string
	require.Eventually(t, func() bool {
		p.Clock.Advance(10)
		words, err = c.TryReceive()
		return err == nil && words != nil
	}, time.Minute, time.Millisecond)
	require.Equal(t, "1", words[0], "the client must get its own answer, not the close of the connection")
	awaitEnd(t, p.Clock, ended)
}

// startServers starts a cache server, a parent and the origin, and notifies the proxy's core of them.
func startServers(t *testing.T, p *scenario.Proxy, options fleet.Options) *fleet.Fleet {
	servers := fleet.New(options)
	t.Cleanup(servers.Close)
	list := make([]core.Member, 3)
	for i, id := range []policy.ServerID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
		server, err := servers.Start(id, fleet.Role(i), "127.0.0.1:0")
		require.NoError(t, err)
		list[i].Addr, list[i].ID, list[i].Kind, list[i].Weight = server.Addr(), id, i, 10
	}
	p.Core.UpdateMembers(membership.Publish{Version: 2, Complete: true, Members: list})
	return servers
}

// awaitEnd advances the clock until a channel is closed.
func awaitEnd(t *testing.T, clk *clock.Clock, ended <-chan struct{}) {
	require.Eventually(t, func() bool {
		select {
		case <-ended:
			return true
		default:
			clk.Advance(10)
			return false
		}
	}, time.Minute, time.Millisecond)
}
