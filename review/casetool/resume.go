package main

import (
	"errors"
	"path/filepath"
	"time"
)

func init() { cases["resume"] = resumeDrained }

// resumeDrained drains a cache box by a list for all members of the store, kills one of them and starts it again.
func resumeDrained(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(true)
	if err != nil {
		return false, err
	}
	const box = "s-00000001"
	p := c.proxies[2]
	path := filepath.Join(w.dir, "pushed.jsonc")
	if err := w.writeList(path, 1, box, ""); err != nil {
		return false, err
	}
	if text, err := w.command("servers", "push", path, "--admin", c.admin[2]); err != nil {
		return false, errors.New(text)
	}
	told := nowMs()
	read := func(span time.Duration) (err error) {
		client, err := dialClient(p.listen)
		if err != nil {
			return err
		}
		defer client.conn.Close()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
			rid, object := randomID(), randomID()
			word, _, err := client.read(rid, object)
			if err != nil {
				return err
			}
			w.rec.printf("client: read %s of %s: %s", rid, object, word)
		}
		return nil
	}
	if err := read(4 * time.Second); err != nil {
		return false, err
	}
	if trouble {
		w.rec.printf("proxy %s: SIGKILL", p.name)
		p.kill()
		time.Sleep(absence)
		if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
			return false, err
		}
	}
	if err := read(12 * time.Second); err != nil {
		return false, err
	}
	late, first, last := 0, 0.0, 0.0
	for _, s := range w.fleet.seenSince(told + drainGrace) {
		if s.server == box || s.source == box {
			if late++; late == 1 {
				first = s.at - told
			}
			last = s.at - told
		}
	}
	w.rec.say("%d requests came to %s later than %d ms after its drain was told, from %.0f to %.0f ms", late, box, drainGrace, first, last)
	return late > 0, nil
}
