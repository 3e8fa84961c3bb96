package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = steadyReaders }

const (
	slowClients  = 3       // and as many that read at full speed
	slowRate     = 150_000 // bytes a second; the pages: some clients read at most 1 MB a second
	openRequests = 32      // on one connection, the most that the pages allow
	largeObject  = 235_000 // bytes; the pages: 240,000 at most
)

// steadyReader reads small pieces without a pause of its own, at no more than rate bytes a second; 0: as fast as they come.
type steadyReader struct {
	conn    net.Conn
	rate    float64
	began   time.Time
	got     float64
	longest time.Duration // between two reads
	last    time.Time
}

func (s *steadyReader) Read(p []byte) (int, error) {
	if !s.last.IsZero() {
		s.longest = max(s.longest, time.Since(s.last))
	}
	n, err := s.conn.Read(p[:min(len(p), 16<<10)])
	s.last = time.Now()
	s.got += float64(n)
	if ahead := s.got/s.rate - time.Since(s.began).Seconds(); s.rate > 0 && ahead > 0 {
		time.Sleep(time.Duration(ahead * 1e9))
	}
	return n, err
}

// steadyReaders has clients that read slowly and steadily beside others that read at full speed. Each sends 32 requests.
func steadyReaders(w *world, trouble bool) (broken bool, err error) {
	w.fleet.size = largeObject
	if err := w.startServers(); err != nil {
		return false, err
	}
	p, err := w.newProxy("n1", 0, 1, map[string]any{})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
		return false, err
	}
	var answered, lost atomic.Int64
	var group sync.WaitGroup
	one := func(name string, rate float64) {
		conn, err := net.Dial("tcp", p.listen)
		if err != nil {
			w.rec.say("%s client could not connect: %v", name, err)
			return
		}
		defer conn.Close()
		for i := range openRequests {
			fields := fmt.Sprintf("rid=%s,budget=5000,obj=%s,nth=0,batch=%d,mem=600.5", randomID(), randomID(), objectGroup)
			_, _ = conn.Write(frame("RPC.CALL", fmt.Sprint(i+1), "replay", fields, ""))
			time.Sleep(40 * time.Millisecond)
		}
		w.rec.printf("%s client: sent %d requests", name, openRequests)
		slow := &steadyReader{conn: conn, rate: rate, began: time.Now()}
		reader := bufio.NewReader(slow)
		for i := range openRequests {
			answer, err := readFrame(reader)
			since := time.Since(slow.began).Seconds()
			if err != nil {
				lost.Add(int64(openRequests - i))
				w.rec.say("%s client: the proxy ended the connection, found %.1f s after reading began; %d requests answered, %d never; "+
					"read %.0f KB, the longest pause between two reads was %.2f s: %v",
					name, since, i, openRequests-i, slow.got/1000, slow.longest.Seconds(), err)
				return
			}
			answered.Add(1)
			w.rec.printf("%s client, %.1f s: answer %s %s, %d bytes", name, since, answer[0], answer[1], len(answer[len(answer)-1]))
		}
		w.rec.say("%s client: all %d requests answered", name, openRequests)
	}
	for range slowClients {
		rate := 0.0
		if trouble {
			rate = slowRate
		}
		group.Go(func() { one("slow", rate) })
		group.Go(func() { one("fast", 0) })
	}
	group.Wait()
	w.rec.say("%d requests answered, %d lost", answered.Load(), lost.Load())
	return lost.Load() > 0, nil
}
