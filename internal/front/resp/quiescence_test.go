package resp_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ravenwheel/internal/clock"
)

// quiescence reports when this whole process, the program and the fake servers and clients, has nothing left to do until the clock
// advances: every other goroutine is parked, and no byte, connection or FIN is in transit between two of its sockets. It decides by
// state alone, so it does not depend on how busy the machine is.
type quiescence struct {
	t     *testing.T
	stack []byte
}

func newQuiescence(t *testing.T) *quiescence { return &quiescence{t: t, stack: make([]byte, 1<<20)} }

// quiescenceTimeout bounds how long wait waits. It does not measure speed.
const quiescenceTimeout = 3 * time.Minute

// advance advances a clock in steps, each once the process is quiescent, so that everything set off by a step is over before the
// next step.
func (q *quiescence) advance(clk *clock.Clock, ms, step float64) {
	for end := clk.Now() + ms; ; clk.Advance(min(step, end-clk.Now())) {
		q.wait()
		if clk.Now() >= end {
			return
		}
	}
}

// wait returns once the process is quiescent.
func (q *quiescence) wait() {
	for start := time.Now(); ; time.Sleep(50 * time.Microsecond) {
		why := q.busy()
		if why == "" {
			return
		}
		require.Less(q.t, time.Since(start), quiescenceTimeout, "the process is not quiescent in time: %s", why)
	}
}

// busy returns what the process still has to do, or nothing. It counts the bytes of the sockets before and after it looks at the
// goroutines: if one of those moved a byte in between, the counts differ.
func (q *quiescence) busy() (why string) {
	before, why := socketByteCounts()
	if why != "" {
		return why
	}
	if why = q.unparkedGoroutine(); why != "" {
		return why
	}
	after, why := socketByteCounts()
	if why == "" && !maps.Equal(before, after) {
		why = "bytes were moved while the goroutines were looked at"
	}
	return why
}

// parked are the states of a goroutine that waits for another goroutine or for a socket.
var parked = map[string]bool{
	"IO wait": true, "chan receive": true, "chan send": true, "select": true, "semacquire": true, "sync.Mutex.Lock": true,
	"sync.RWMutex.RLock": true, "sync.RWMutex.Lock": true, "sync.WaitGroup.Wait": true, "sync.Cond.Wait": true,
}

// unparkedGoroutine returns the stack of a goroutine other than the caller's that is not parked or that waits for a connection to
// be established, or nothing.
func (q *quiescence) unparkedGoroutine() (why string) {
	n := runtime.Stack(q.stack, true)
	for n == len(q.stack) {
		q.stack = make([]byte, 2*n)
		n = runtime.Stack(q.stack, true)
	}
	for i, goroutine := range bytes.Split(q.stack[:n], []byte("\n\n")) {
		if i == 0 {
			continue // the first stack is that of this goroutine
		}
		_, state, _ := bytes.Cut(goroutine, []byte("["))
		if end := bytes.IndexAny(state, ",]"); end >= 0 {
			state = state[:end]
		}
		if !parked[string(state)] || bytes.Contains(goroutine, []byte("net.(*netFD).connect(")) {
			return string(goroutine)
		}
	}
	return ""
}

// address is an IPv4 address and port.
type address struct {
	ip   [4]byte
	port int
}

func addressOf(sockaddr unix.Sockaddr) address {
	in, ok := sockaddr.(*unix.SockaddrInet4)
	if !ok {
		return address{}
	}
	return address{in.Addr, in.Port}
}

// endpoints are the two addresses of a socket's connection.
type endpoints struct{ local, remote address }

// byteCounts is how many bytes a socket has sent and received so far.
type byteCounts struct{ sent, received uint64 }

// States of a TCP socket, as the kernel numbers them.
const tcpEstablished, tcpListen = 1, 10

// socketByteCounts returns what was sent and received over each connection of this process; both ends of each are in this process.
// why is not empty while a connection is being established or closed, or bytes have not arrived or were not read.
func socketByteCounts() (all map[endpoints]byteCounts, why string) {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil, err.Error()
	}
	all = map[endpoints]byteCounts{}
	for _, entry := range list {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			return nil, err.Error()
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue // not a TCP socket
		}
		if info.State == tcpListen {
			if info.Unacked > 0 { // for a listening socket: how many connections wait to be accepted
				return nil, "a connection is not accepted yet"
			}
			continue
		}
		local, err1 := unix.Getsockname(fd)
		remote, err2 := unix.Getpeername(fd)
		unread, err3 := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err := errors.Join(err1, err2, err3); err != nil || info.State != tcpEstablished || unread > 0 || info.Notsent_bytes > 0 {
			return nil, fmt.Sprintf("socket %d: state %d, %d bytes unread, %d not sent, %v", fd, info.State, unread, info.Notsent_bytes, err)
		}
		all[endpoints{addressOf(local), addressOf(remote)}] = byteCounts{info.Bytes_sent - info.Bytes_retrans, info.Bytes_received}
	}
	for pair, counts := range all {
		if peer, ok := all[endpoints{pair.remote, pair.local}]; !ok || peer.received != counts.sent {
			return nil, fmt.Sprintf("%v: %d bytes sent, %d arrived at the other end", pair, counts.sent, peer.received)
		}
	}
	return all, ""
}
