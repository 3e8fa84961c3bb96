package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = idleCrowd }

const (
	crowdSize   = 1500 // silent connections at once
	crowdSpan   = 20 * time.Second
	descriptors = 1024 // limit of the process
)

// openDescriptors returns how many descriptors a process holds.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// idleCrowd has silent connections arrive at the front of signed links, while clients of the platform's protocol send requests
// on new connections.
func idleCrowd(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front := freeAddr()
	w.prefix = fmt.Sprintf("ulimit -n %d; ", descriptors)
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front)})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second), awaitLink(front, "/asset/7f3a9c21e0b4d655")); err != nil {
		return false, err
	}
	end := time.Now().Add(crowdSpan)
	var group sync.WaitGroup
	var arrived, most, served, refused, failed, shut, lost atomic.Int64
	if trouble {
		w.rec.printf("%d silent clients connect to the signed front, each again once it was closed", crowdSize)
		for range crowdSize {
			group.Go(func() { crowdClient(front, end, &arrived) })
			time.Sleep(time.Millisecond)
		}
	}
	group.Go(func() {
		for time.Now().Before(end) {
			most.Store(max(most.Load(), int64(openDescriptors(p.cmd.Process.Pid))))
			time.Sleep(100 * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		group.Go(func() {
			conn, err := dialClient(p.listen)
			if err != nil {
				shut.Add(1)
				return
			}
			defer conn.conn.Close()
			rid := randomID()
			// The request has a budget of 2 s, and its answer is waited for 3 s.
			word, _, err := conn.read(rid, randomID())
			var netErr net.Error
			switch {
			case errors.As(err, &netErr) && netErr.Timeout():
				lost.Add(1)
				w.rec.printf("client: request %s on a new connection has no answer 1 s after its time, and the connection is open", rid)
				return
			case err != nil: // the pages allow that new connections are shut unread
				shut.Add(1)
			case word == "ok":
				served.Add(1)
			case word == "full":
				refused.Add(1)
			default:
				failed.Add(1)
			}
			w.rec.printf("client: request %s on a new connection: %s %v", rid, word, err)
		})
	}
	group.Wait()
	w.rec.say("%d silent connections arrived, the process held %d descriptors at most; requests on new connections: %d served, %d refused, "+
		"%d failed, %d shut, %d never answered", arrived.Load(), most.Load(), served.Load(), refused.Load(), failed.Load(), shut.Load(), lost.Load())
	if served.Load() == 0 && !trouble {
		return false, errors.New("no client was served")
	}
	return lost.Load() > 0, nil
}

// crowdClient keeps a silent connection to an address open, and opens another one once it is closed.
func crowdClient(addr string, end time.Time, arrived *atomic.Int64) {
	for time.Now().Before(end) {
		if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			arrived.Add(1)
			_ = conn.SetReadDeadline(end)
			_, _ = conn.Read(make([]byte, 64))
			conn.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}
