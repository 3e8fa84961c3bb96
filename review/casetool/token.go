package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["token"] = tokenTwice }

// configSet makes a revision of the shared configuration at the member with this admin address.
func (w *world) configSet(admin string, revision string) error {
	path := filepath.Join(w.dir, "revision.jsonc")
	if err := os.WriteFile(path, []byte(revision), 0o600); err != nil {
		return err
	}
	text, err := w.command("config", "set", path, "--admin", admin)
	if err != nil {
		return errors.New(text)
	}
	return nil
}

// tokenTwice uses the one-time token of a seat claim twice, and raises the leeway for tokens in service in between.
func tokenTwice(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front, admin := freeAddr(), freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front), "admin": map[string]any{"listen": admin}})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second), awaitLink(front, "/asset/7f3a9c21e0b4d655")); err != nil {
		return false, err
	}
	const seat = "00000000000000a1"
	uri := "http://" + front + "/" + writeClass + "/" + seat
	expires := time.Now().Unix() + 4
	token := sign(keyID, firstSecret, linkClaims(uri, "claim-"+randomID(), expires))
	claim := func() (status int) {
		status, body, err := post(front, "/"+writeClass+"/"+seat, token, "seat 12")
		w.rec.printf("client: claim of the seat: %d %s %v", status, strings.TrimSpace(body), err)
		return status
	}
	if status := claim(); status != 200 {
		return false, errors.New("the first claim was not served")
	}
	claim()
	time.Sleep(time.Until(time.Unix(expires+3, 0)) + 500*time.Millisecond) // the token and the leeway of 3 s are over
	claim()
	if trouble {
		if err := w.configSet(admin, `{"signed": {"leeway_ms": 30000}}`); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	claim()
	runs := len(w.fleet.writesOf(seat))
	w.rec.say("the claim ran %d times at the main store", runs)
	return runs > 1, nil
}
