package main

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["turns"] = listsInTurns }

const (
	turn      = 350 * time.Millisecond // longer than quiet_ms (200), "how long a text must stay the same before it counts"
	turnsLast = 12 * time.Second
)

// listsInTurns drains a cache box by a watched list, while broken, partial and valid lists are written in rapid turns.
func listsInTurns(w *world, trouble bool) (broken bool, err error) {
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
	replace := func(text []byte) error {
		if err := os.WriteFile(path+".new", text, 0o600); err != nil {
			return err
		}
		return os.Rename(path+".new", path)
	}
	if err := w.writeList(path, 2, box, ""); err != nil {
		return false, err
	}
	told, generation := nowMs(), 2
	w.rec.printf("list 2 written: %s is draining", box)
	written := make(chan error, 1)
	go func() {
		for end := time.Now().Add(turnsLast); trouble && time.Now().Before(end); {
			time.Sleep(turn)
			valid, err := os.ReadFile(path)
			if err == nil {
				err = replace([]byte("{ broken"))
			}
			time.Sleep(turn)
			err = errors.Join(err, replace(valid[:len(valid)/2]))
			time.Sleep(turn)
			generation++
			if err = errors.Join(err, w.writeList(path, generation, box, "")); err != nil {
				written <- err
				return
			}
			w.rec.printf("list %d written, after a broken and a partial one", generation)
		}
		written <- nil
	}()
	client, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	defer client.conn.Close()
	for end := time.Now().Add(turnsLast + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, _, err := client.read(randomID(), randomID()); err != nil {
			return false, err
		}
	}
	if err := <-written; err != nil {
		return false, err
	}
	late, last := 0, 0.0
	for _, s := range w.fleet.seenSince(told + drainGrace) {
		if s.server == box || s.source == box {
			late, last = late+1, s.at-told
		}
	}
	w.rec.say("%d requests came to %s later than %d ms after the first valid list that drains it, the last after %.0f ms", late, box, drainGrace, last)
	return late > 0, nil
}
