package load

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/resp"
)

const (
	// maxMisbehaving is the highest number of clients of one kind.
	maxMisbehaving = 5000
	// reconnectDelay is the delay before each connection of a misbehaving client.
	reconnectDelay = 100 * time.Millisecond
)

// MisbehavingClients is a set of clients that break the protocol until Stop is called. Each has a connection of its own.
type MisbehavingClients struct {
	addr    string
	stop    chan struct{}
	running sync.WaitGroup
	// Opened counts the connections that were established, and Ended those of them that the proxy closed.
	Opened, Ended atomic.Int64
}

// misbehaviour is a kind of misbehaving client: what it sends, and whether it then closes the connection at once or waits until the
// proxy closes it.
type misbehaviour struct {
	send       string
	disconnect bool
}

// misbehaviours are the kinds by name: idle sends nothing, half sends the first half of a request, noise sends bytes that are not
// the protocol, claim announces a part of 2 GiB, and leave closes the connection without waiting for the answer to its request.
var misbehaviours = map[string]misbehaviour{
	"idle":  {},
	"half":  {send: "*4\r\n$8\r\nRPC.CALL\r\n$1\r\n1\r\n$5\r\nas"},
	"noise": {send: "\x00\xff GET / HTTP/1.1\r\n\r\n"},
	"claim": {send: "*4\r\n$2147483647\r\n"},
	"leave": {send: string(resp.AppendFrame(nil, "RPC.CALL", "1", "asset", "rid=00000000000000aa,budget=2000,obj=00000000000000bb,nth=0,batch=1")), disconnect: true},
}

// ParseMisbehaving parses the number of clients of each kind, for example "idle=100,half=20".
func ParseMisbehaving(text string) (map[string]int, error) {
	counts := map[string]int{}
	for _, part := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		count, err := strconv.Atoi(number)
		if _, known := misbehaviours[name]; !known || err != nil || count < 0 || count > maxMisbehaving {
			return nil, fmt.Errorf("%q is not KIND=COUNT with KIND idle, half, noise, claim or leave and COUNT from 0 to %d", part, maxMisbehaving)
		}
		counts[name] = count
	}
	return counts, nil
}

// StartMisbehaving starts the clients. Each connects again reconnectDelay after its connection has ended.
func StartMisbehaving(addr string, counts map[string]int) *MisbehavingClients {
	m := &MisbehavingClients{addr: addr, stop: make(chan struct{})}
	for name, count := range counts {
		for range count {
			m.running.Go(func() {
				for m.connectOnce(misbehaviours[name]) {
				}
			})
		}
	}
	return m
}

// connectOnce opens one connection and misbehaves on it until it ends. It returns false once the client must stop.
func (m *MisbehavingClients) connectOnce(kind misbehaviour) bool {
	select {
	case <-m.stop:
		return false
	case <-time.After(reconnectDelay):
	}
	nc, err := net.DialTimeout("tcp", m.addr, time.Second)
	if err != nil {
		return true
	}
	defer nc.Close()
	m.Opened.Add(1)
	_, _ = nc.Write([]byte(kind.send))
	if kind.disconnect {
		return true
	}
	select {
	case <-endOf(nc):
		m.Ended.Add(1)
		return true
	case <-m.stop:
		return false
	}
}

// endOf returns a channel that is closed once the connection has ended. It discards what the proxy sends.
func endOf(nc net.Conn) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for buf := make([]byte, 256); ; {
			if _, err := nc.Read(buf); err != nil {
				return
			}
		}
	}()
	return ended
}

// Stop stops all clients and waits for their end.
func (m *MisbehavingClients) Stop() {
	close(m.stop)
	m.running.Wait()
}
