package main

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"
)

func init() { cases["purge"] = groupPurge }

const (
	purgeGrace  = 1050 // ms: 1 s after the purge is told, and 50 ms for real sockets
	keyID       = "k1"
	linkObjects = 8
)

var firstSecret = []byte("0123456789abcdef0123456789abcdef")

func encodedKey(secret []byte) map[string]any {
	return map[string]any{"alg": "HS256", "key": base64.StdEncoding.EncodeToString(secret)}
}

func signedPart(listen string) map[string]any {
	return map[string]any{"listen": listen, "audience": audience, "leeway_ms": 3000, "keys": map[string]any{keyID: encodedKey(firstSecret)}}
}

// awaitLink waits until a signed link is served: the front's keys are put into the store after the start.
func awaitLink(addr, path string) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _, err := getLink(addr, path, keyID, firstSecret, time.Now().Unix()+60); err == nil && status == 200 {
			return nil
		}
	}
	return errors.New("the signed front serves no link")
}

// groupPurge purges a group by the notice board while clients of signed links and of the platform's protocol read its objects.
func groupPurge(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front := freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front)})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
		return false, err
	}
	linked := func(i int) string { return fmt.Sprintf("7f3a9c21e0b4d6%02x", i) }
	direct := func(i int) string { return fmt.Sprintf("5c0f6e1a2b3d4c%02x", i) }
	if err := awaitLink(front, "/asset/"+linked(0)); err != nil {
		return false, err
	}
	c, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	var purgedAt, toldAt float64
	stale, served := 0, 0
	// check counts an answer: it is stale if it was asked for more than the grace after the purge was told, and its copy is older.
	check := func(front, object, body string, asked float64) {
		stamp, ok := stampOf(object, body)
		old := ok && toldAt > 0 && asked > toldAt+purgeGrace && stamp < purgedAt
		w.rec.printf("client of the %s front: %s served, stamp %.0f, purged copy: %v", front, object, stamp, old)
		if ok {
			served++
		}
		if old {
			stale++
		}
	}
	round := func() {
		for i := range linkObjects {
			asked := nowMs()
			status, body, err := getLink(front, "/asset/"+linked(i), keyID, firstSecret, time.Now().Unix()+60)
			if err != nil || status != 200 {
				w.rec.printf("client of the signed front: %s: %d %s %v", linked(i), status, body, err)
				continue
			}
			check("signed", linked(i), body, asked)
			asked = nowMs()
			word, body, err := c.read(randomID(), direct(i))
			if err != nil || word != "ok" {
				w.rec.printf("client of the platform's front: %s: %s %v", direct(i), word, err)
				continue
			}
			check("platform's", direct(i), body, asked)
		}
	}
	for range 3 {
		round()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		purgedAt = w.fleet.purge()
		time.Sleep(200 * time.Millisecond) // the pages: proxies hear of it after 48 to 320 ms
		toldAt = nowMs()
		w.board.purgeGroup(objectGroup, purgedAt)
	}
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		round()
	}
	w.rec.say("%d answers, %d of them with a purged copy asked for over %d ms after the purge was told", served, stale, purgeGrace)
	if served == 0 {
		return false, errors.New("no client was served")
	}
	return stale > 0, nil
}
