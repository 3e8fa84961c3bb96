package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["join"] = replaceMember }

const (
	// In one mass purge "25 to 57% of the groups of objects are purged at once"; here 56% of 256. A store in service has seen many.
	massPurges    = 8
	groupsPurged  = 143
	readyWithin   = 30 * time.Second // the pages: over 30 s to be ready fails
	joinWatchedTo = 60 * time.Second
)

// purgeGroup purges a group at the admin address of a member.
func (w *world) purgeGroup(admin string, group int) error {
	response, err := http.Post("http://"+admin+"/v1/purge", "application/json", strings.NewReader(fmt.Sprintf(`{"group":%d}`, group)))
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("purge: %s", response.Status)
	}
	return nil
}

// replaceMember loses one of three members of a store that has recorded purges, and starts a new one in its place.
func replaceMember(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(true)
	if err != nil {
		return false, err
	}
	began := time.Now()
	for range massPurges {
		for group := range groupsPurged {
			if err := w.purgeGroup(c.admin[0], group); err != nil {
				return false, err
			}
		}
	}
	w.rec.printf("%d mass purges recorded in %s", massPurges, time.Since(began))
	if !trouble {
		return false, nil
	}
	c.proxies[2].kill()
	keys := filepath.Join(w.dir, "keys")
	for tries := 0; ; tries++ { // the lost member may have been the leader
		if _, err := w.command("cluster", "remove", "n3", "--operator", c.proxies[0].operator); err == nil {
			break
		} else if tries > 20 {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	if _, err := w.command("cluster", "keys", keys, "branch", "n4"); err != nil {
		return false, err
	}
	front, admin := freeAddr(), freeAddr()
	p, err := w.newProxy("n4", 3, 3, map[string]any{
		"signed": signedPart(front),
		"admin":  map[string]any{"listen": admin},
		"store": map[string]any{
			"name": "n4", "listen": freeAddr(), "join": c.members[0], "dir": filepath.Join(w.dir, "store-n4"), "identity": keys, "timeout_ms": 2000,
		},
	})
	if err != nil {
		return false, err
	}
	started := time.Now()
	err = errors.Join(p.start(), p.awaitReady(joinWatchedTo))
	w.rec.say("the new member: ready %v after %.1f s, running %v", err == nil, time.Since(started).Seconds(), p.running())
	return time.Since(started) > readyWithin || err != nil, nil
}
