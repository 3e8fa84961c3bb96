package main

import (
	"errors"
	"strings"
	"time"
)

func init() { cases["replace"] = replaceWithLinks }

// replaceWithLinks starts a second process beside a proxy that serves signed links, with another console, to replace it.
func replaceWithLinks(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front := freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front)})
	if err != nil {
		return false, err
	}
	p.console = freeAddr()
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second), awaitLink(front, "/asset/7f3a9c21e0b4d655")); err != nil {
		return false, err
	}
	if !trouble {
		text, err := p.call("STATUS")
		return !strings.HasPrefix(text, "SUCCESS"), err
	}
	next := *p
	next.console, next.name = freeAddr(), "n1-next"
	w.proxies = append(w.proxies, &next)
	if err := next.start(); err != nil {
		return false, err
	}
	began := time.Now()
	for time.Since(began) < 6*time.Second && next.running() {
		time.Sleep(50 * time.Millisecond)
		if text, err := next.call("STATUS"); err == nil && strings.HasPrefix(text, "SUCCESS") {
			break
		}
	}
	w.rec.say("the new process after %.1f s: running %v", time.Since(began).Seconds(), next.running())
	time.Sleep(time.Second)
	text, _ := p.call("STATUS")
	w.rec.say("the old process: running %v, STATUS %s", p.running(), strings.TrimSpace(text))
	return !next.running(), nil
}
