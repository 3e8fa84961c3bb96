package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["upper"] = purgeInCapitals }

// purgeInCapitals purges an object by the operators' command, with its 16 hex digits in capitals.
func purgeInCapitals(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	admin := freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"admin": map[string]any{"listen": admin}})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
		return false, err
	}
	c, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	capitals, small := "7f3a9c21e0b4d655", "5c0f6e1a2b3d4c77"
	read := func(object string) (stamp float64, err error) {
		word, body, err := c.read(randomID(), object)
		if err != nil || word != "ok" {
			return 0, fmt.Errorf("read of %s: %s %w", object, word, err)
		}
		stamp, ok := stampOf(object, body)
		w.rec.printf("client: %s: copy of %.0f", object, stamp)
		if !ok {
			return 0, errors.New("an answer that no server made")
		}
		return stamp, nil
	}
	for _, object := range []string{capitals, small} {
		if _, err := read(object); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	at := w.fleet.purge()
	typed := capitals
	if trouble {
		typed = strings.ToUpper(capitals)
	}
	for _, object := range []string{typed, small} {
		if _, err := w.command("purge", "--object", object, "--admin", admin); err != nil {
			return false, err
		}
	}
	told := nowMs()
	old := map[string]int{}
	for time.Sleep(purgeGrace * time.Millisecond); nowMs() < told+4000; time.Sleep(100 * time.Millisecond) {
		for _, object := range []string{capitals, small} {
			stamp, err := read(object)
			if err != nil {
				return false, err
			}
			if stamp < at {
				old[object]++
			}
		}
	}
	w.rec.say("answers from a copy older than the purge: %d of the object purged in capitals, %d of the other", old[capitals], old[small])
	return old[capitals]+old[small] > 0, nil
}
