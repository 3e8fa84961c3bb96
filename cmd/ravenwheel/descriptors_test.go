package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// countDescriptors returns the number of open descriptors of a process, of all kinds.
func countDescriptors(pid int) int {
	list, _ := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	return len(list)
}

// watchDescriptors counts the descriptors of a process repeatedly until end is called, which returns the highest count and the
// number of counts.
func watchDescriptors(pid int) (end func() (highest, counts int)) {
	stop, done := make(chan struct{}), make(chan struct{})
	highest, counts := 0, 0
	go func() {
		defer close(done)
		for over := false; !over; counts++ {
			select {
			case <-stop:
				over = true
			case <-time.After(100 * time.Microsecond):
			}
			highest = max(highest, countDescriptors(pid))
		}
	}()
	return func() (int, int) {
		close(stop)
		<-done
		return highest, counts
	}
}

// connectIdleClients opens n connections to a proxy, atOnce of them in parallel, and leaves them open. Each sends first, which may
// be empty.
func connectIdleClients(t *testing.T, listen string, first string, n, atOnce int) {
	var all sync.WaitGroup
	for range atOnce {
		all.Go(func() {
			for range n / atOnce {
				nc, err := net.Dial("tcp", listen)
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { _ = nc.Close() })
				_, _ = nc.Write([]byte(first)) // the proxy may have closed the connection already
			}
		})
	}
	all.Wait()
}

// Thousands of idle clients connect at once, and none closes its connection. The system's limit on descriptors is much higher, so
// the process itself has to stay within its configured sockets at each count. A client with a request is served.
func TestIdleClientsStayWithinSockets(t *testing.T) {
	const sockets, clients = 640, 4000
	const health = "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"
	for name, first := range map[string]string{"silent": "", "asked once": health, "half a frame": health[:9]} {
		t.Run(name, func(t *testing.T) {
			bin, cache := buildProgram(t), scenario.Listen(t)
			go func() {
				for t.Context().Err() == nil {
					if words, err := cache.Receive(); err == nil && len(words) > 1 && words[0] == "fetch" {
						_ = cache.Send([]string{words[1], "served", "why=local,version=v1", "BYTES"})
					}
				}
			}()
			listen := freeAddr(t)
			path := configFile(t, listen, unusedAddr(t), cache.Addr())
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			text = bytes.ReplaceAll(text, []byte(`"sockets":1024`), fmt.Appendf(nil, `"sockets":%d`, sockets))
			require.NoError(t, os.WriteFile(path, text, 0o600))
			r := &proxyProcess{cmd: exec.Command(bin), console: freeAddr(t), logs: &strings.Builder{}}
			r.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_CONSOLE="+r.console, "TMPDIR="+t.TempDir())
			r.cmd.Stderr = r.logs
			require.NoError(t, r.cmd.Start())
			t.Cleanup(func() { _ = r.cmd.Process.Kill() })
			r.awaitReady(t)
			withoutClients := countDescriptors(r.cmd.Process.Pid)
			endWatch := watchDescriptors(r.cmd.Process.Pid)
			connectIdleClients(t, listen, first, clients, 20)
			// This client is accepted after the idle ones. Like any client, it connects again if its connection is closed.
			for until := time.Now().Add(time.Minute); ; {
				up, err := requestOnceHealthy(listen)
				if up && err == nil {
					break
				}
				require.True(t, time.Now().Before(until), "%v %v", up, err)
			}
			highest, counts := endWatch()
			t.Logf("at most %d descriptors of %d in %d counts; %d with no client", highest, sockets, counts, withoutClients)
			require.LessOrEqual(t, highest, withoutClients+sockets/2+(1+sockets/2/8)+1+otherDescriptors, "half for clients, one in eight of that for closing connections, one that is being accepted")
			require.Less(t, highest, sockets)
			require.Greater(t, highest, withoutClients+sockets/2-otherDescriptors, "the test must fill the descriptors for clients")
			require.NoError(t, r.cmd.Process.Signal(os.Interrupt))
			require.NoError(t, r.cmd.Wait(), r.logs.String())
		})
	}
}

// otherDescriptors is how many descriptors are used besides those of clients: for calls to discovery and to the console.
const otherDescriptors = 6
