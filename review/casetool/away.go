package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["away"] = suspendAfterAbsence }

// suspendAfterAbsence kills one of three members of the store, starts it again, and takes a cache box out at its console.
func suspendAfterAbsence(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(true)
	if err != nil {
		return false, err
	}
	const box = "s-00000001"
	p := c.proxies[2]
	if trouble {
		w.rec.printf("proxy %s: SIGKILL", p.name)
		p.kill()
		time.Sleep(absence)
		if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	answer, err := p.call("SUSPEND " + box)
	if err != nil || !strings.HasPrefix(answer, "SUCCESS") {
		return false, fmt.Errorf("the console did not take the cache box out: %s %w", answer, err)
	}
	told := nowMs()
	client, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	defer client.conn.Close()
	answered := map[string]int{}
	for end := time.Now().Add(readsFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rid, object := randomID(), randomID()
		word, _, err := client.read(rid, object)
		if err != nil {
			return false, err
		}
		w.rec.printf("client: read %s of %s: %s", rid, object, word)
		answered[word]++
	}
	late, last := 0, 0.0
	for _, s := range w.fleet.seenSince(told + drainGrace) {
		if s.server == box || s.source == box {
			late, last = late+1, s.at-told
		}
	}
	w.rec.say("answers: %v; %d requests came to %s later than %d ms after the yes, the last %.0f ms after it", answered, late, box, drainGrace, last)
	return late > 0, nil
}
