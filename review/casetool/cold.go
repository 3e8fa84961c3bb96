package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"
)

func init() {
	cases["cold"] = func(w *world, trouble bool) (bool, error) { return coldBox(w, trouble, true) }
	cases["coldboard"] = func(w *world, trouble bool) (bool, error) { return coldBox(w, trouble, false) }
}

const (
	coldSending  = 330 * time.Millisecond // of a part of a replay; the pages: 330 to 530 ms on average
	coldMem      = 1980                   // KB: coldSending at 6,000 KB a second
	coldFrom     = 0.15
	coldMultiple = 3.0
	coldWindow   = 3000.0  // ms
	coldWarm     = 18000.0 // ms
	coldRate     = 130     // requests a second: 1.19 of what three boxes can send; the site file: 0.99 to 1.2 on a day of overload
)

// budget is how many requests a box may get in a window that begins from ms after its start.
func budget(from float64) float64 {
	capacity := 0.0
	const steps = 300
	for i := range steps {
		at := max(0, from) + coldWindow*(float64(i)+0.5)/steps
		capacity += min(1, coldFrom+(1-coldFrom)*at/coldWarm) / steps
	}
	n := coldMultiple * capacity * boxWeight * coldWindow / float64(coldSending.Milliseconds())
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// coldBox restarts a cache box that the notice board has drained, and tells of the start, under a burst.
func coldBox(w *world, trouble, list bool) (broken bool, err error) {
	w.fleet.sending = coldSending
	if err := errors.Join(w.startServers(), w.fleet.start("s-00000003", false)); err != nil {
		return false, err
	}
	path := filepath.Join(w.dir, "servers.jsonc")
	if err := w.writeList(path, 1, "", ""); err != nil {
		return false, err
	}
	var proxies []*proxy
	for i := range 2 {
		operator := map[string]any{}
		if list {
			operator["servers"] = map[string]any{"path": path}
		}
		p, err := w.newProxy(fmt.Sprint("n", i+1), i, 2, operator)
		if err != nil {
			return false, err
		}
		if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
			return false, err
		}
		proxies = append(proxies, p)
	}
	objects := make([]string, 150)
	for i, random := 0, rand.New(rand.NewPCG(51, 0)); i < len(objects); i++ {
		objects[i] = fmt.Sprintf("%016x", random.Uint64()) // the same in each run, and so the box's share of them
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]int{}
	stop, next := make(chan struct{}), 0
	conns := make([][]*client, len(proxies))
	var connMu sync.Mutex
	send := func(n int) {
		defer wg.Done()
		p := n % len(proxies)
		connMu.Lock()
		var c *client
		if len(conns[p]) > 0 {
			c, conns[p] = conns[p][len(conns[p])-1], conns[p][:len(conns[p])-1]
		}
		connMu.Unlock()
		if c == nil {
			if c, err = dialClient(proxies[p].listen); err != nil {
				return
			}
		}
		fields := fmt.Sprintf("rid=%s,budget=4000,obj=%s,nth=%d,batch=%d,mem=%d", randomID(), objects[n%len(objects)], (n/len(objects))%4, objectGroup, coldMem)
		answer, err := c.exchange(5*time.Second, "RPC.CALL", c.nextTag(), "replay", fields, "")
		if err != nil || len(answer) < 2 {
			c.conn.Close()
			return
		}
		mu.Lock()
		answered[answer[1]]++
		mu.Unlock()
		connMu.Lock()
		conns[p] = append(conns[p], c)
		connMu.Unlock()
	}
	go func() {
		for due := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(due)):
			}
			wg.Add(1)
			go send(next)
			next++
			due = due.Add(time.Second / coldRate)
		}
	}()
	const box = "s-00000001"
	time.Sleep(16 * time.Second)
	addr := w.fleet.addrs[box]
	started := nowMs()
	if trouble {
		w.board.changeServer(box, addr, 1, boxWeight, 0)
		time.Sleep(5 * time.Second)
		w.fleet.restart(box)
		started = math.Floor(nowMs())
		time.Sleep(300 * time.Millisecond)
		w.board.changeServer(box, addr, 0, boxWeight, started)
	}
	told := nowMs()
	time.Sleep(10 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	wg.Wait()
	w.rec.printf("answers: %v", answered)
	if !trouble {
		w.rec.say("no box was restarted; answers %v", answered)
		return false, nil
	}
	var arrivals []float64
	for _, s := range w.fleet.seenSince(started) {
		if s.server == box && s.at > told+50 { // from proxies that have been told of the start
			arrivals = append(arrivals, s.at-started)
		}
	}
	worst, worstAt, worstCount, worstBudget := math.Inf(-1), 0.0, 0, 0.0
	for i, from := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at < from+coldWindow {
				count++
			}
		}
		if over := float64(count) - budget(from); over > worst {
			worst, worstAt, worstCount, worstBudget = over, from, count, budget(from)
		}
	}
	w.rec.say("worst 3 s: from %.0f ms after the start %d requests came to %s, of %.1f that it bears", worstAt, worstCount, box, worstBudget)
	return worst > 0, nil
}
