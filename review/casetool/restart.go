package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["restart"] = purgeOverRestart }

// purgeOverRestart purges a group for all members of the store, and kills and restarts two of the three members.
func purgeOverRestart(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(false)
	if err != nil {
		return false, err
	}
	const objects = 200
	object := func(i int) string { return fmt.Sprintf("7f3a9c21e0b4%04x", i) }
	var mu sync.Mutex
	var purgedAt, toldAt float64
	stale, served, lastStale := 0, 0, 0.0
	read := func(p *proxy, conn *client, i int) error {
		asked := nowMs()
		word, body, err := conn.read(randomID(), object(i))
		if err != nil {
			return err
		}
		stamp, ok := stampOf(object(i), body)
		mu.Lock()
		defer mu.Unlock()
		old := ok && toldAt > 0 && asked > toldAt+purgeGrace && stamp < purgedAt
		w.rec.printf("client of %s: %s %s, stamp %.0f, purged copy: %v", p.name, object(i), word, stamp, old)
		if ok {
			served++
		}
		if old {
			stale++
			lastStale = nowMs()
		}
		return nil
	}
	// readAll reads objects from..to-1 at a proxy, 10 ms apart.
	readAll := func(p *proxy, from, to int) error {
		conn, err := dialClient(p.listen)
		if err != nil {
			return err
		}
		defer conn.conn.Close()
		for i := from; i < to; i++ {
			if err := read(p, conn, i); err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	}
	killed := c.proxies[:2]
	if err := errors.Join(readAll(c.proxies[2], 0, objects)); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	purgedAt = w.fleet.purge()
	if text, err := w.command("purge", "--group", fmt.Sprint(objectGroup), "--admin", c.admin[2]); err != nil {
		return false, errors.New(text)
	}
	toldAt = nowMs()
	time.Sleep((purgeGrace + 50) * time.Millisecond)
	for i, p := range killed { // both heed the purge
		if err := readAll(p, 10*i, 10*i+10); err != nil {
			return false, err
		}
	}
	if stale > 0 {
		return false, errors.New("a purged copy was served before the restart")
	}
	if trouble {
		for _, p := range killed {
			w.rec.printf("proxy %s: SIGKILL", p.name)
			p.kill()
		}
		for _, p := range killed {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	errs := make(chan error, len(killed))
	ready := 0.0
	for i, p := range killed {
		if err := p.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
		ready = nowMs()
		go func() { errs <- readAll(p, 20+90*i, 110+90*i) }()
	}
	if err := errors.Join(<-errs, <-errs); err != nil {
		return false, err
	}
	w.rec.say("%d answers, %d of them with a purged copy asked for over %d ms after the purge was told, the last %.0f ms after the proxies were ready",
		served, stale, purgeGrace, max(0, lastStale-ready))
	return stale > 0, nil
}
