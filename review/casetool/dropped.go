package main

import (
	"errors"
	"path/filepath"
	"time"
)

func init() { cases["dropped"] = dropDraining }

// dropDraining drains a cache box by a watched list, and drops it by the next list while it still drains.
func dropDraining(w *world, trouble bool) (broken bool, err error) {
	if err := errors.Join(w.startServers(), w.fleet.start("s-00000003", false)); err != nil {
		return false, err
	}
	const box = "s-00000001"
	path := filepath.Join(w.dir, "servers.jsonc")
	if err := w.writeList(path, 1, "", ""); err != nil {
		return false, err
	}
	p, err := w.newProxy("n1", 0, 1, map[string]any{"servers": map[string]any{"path": path}})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
		return false, err
	}
	client, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	defer client.conn.Close()
	read := func(span time.Duration) error {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			rid, object := randomID(), randomID()
			word, _, err := client.read(rid, object)
			if err != nil {
				return err
			}
			w.rec.printf("client: read %s of %s: %s", rid, object, word)
		}
		return nil
	}
	if err := errors.Join(read(time.Second), w.writeList(path, 2, box, "")); err != nil {
		return false, err
	}
	w.rec.printf("list 2 written: %s is draining", box)
	time.Sleep(time.Second) // it is in use after two quiet_ms
	told := nowMs()
	if err := read(3 * time.Second); err != nil {
		return false, err
	}
	if trouble {
		if err := w.writeList(path, 3, "", box); err != nil {
			return false, err
		}
		w.rec.printf("list 3 written: %s is not named", box)
	}
	if err := read(8 * time.Second); err != nil {
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
