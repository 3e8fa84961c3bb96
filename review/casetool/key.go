package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["key"] = revokedKey }

var secondSecret = []byte("fedcba9876543210fedcba9876543210")

// revokedKey replaces the signing key in service, and restarts one member of the store afterwards.
func revokedKey(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(false)
	if err != nil {
		return false, err
	}
	const newKey = "k2"
	time.Sleep(3 * time.Second)
	revision := fmt.Sprintf(`{"keys": {"%s": {"alg": "HS256", "key": "%s"}}}`, newKey, encodedKey(secondSecret)["key"])
	if err := w.configSet(c.admin[0], revision); err != nil {
		return false, err
	}
	served := map[string]int{}
	claims := func(when string) {
		for i, front := range c.fronts {
			for _, key := range []struct {
				id     string
				secret []byte
			}{{keyID, firstSecret}, {newKey, secondSecret}} {
				status, _, err := getLink(front, "/asset/7f3a9c21e0b4d655", key.id, key.secret, time.Now().Unix()+60)
				w.rec.printf("client with key %s at %s, %s: link %d %v", key.id, c.proxies[i].name, when, status, err)
				if status == 200 {
					served[key.id+" "+when]++
				}
				seat := "/" + writeClass + "/" + randomID()
				token := sign(key.id, key.secret, linkClaims("http://"+front+seat, "claim-"+randomID(), time.Now().Unix()+60))
				status, body, err := post(front, seat, token, "seat 12")
				w.rec.printf("client with key %s at %s, %s: claim %d %s %v", key.id, c.proxies[i].name, when, status, strings.TrimSpace(body), err)
				if status == 200 {
					served[key.id+" "+when]++
				}
			}
		}
	}
	time.Sleep(2 * time.Second)
	claims("before")
	if served[keyID+" before"] > 0 || served[newKey+" before"] != 6 {
		return false, errors.New("the rotation of the key did not take effect")
	}
	if trouble {
		p := c.proxies[1]
		p.terminate()
		if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
			return false, err
		}
	}
	for range 3 {
		time.Sleep(3 * time.Second)
		claims("after")
	}
	w.rec.say("%d answers of 18 for the revoked key after the restart, %d of 18 for the new key", served[keyID+" after"], served[newKey+" after"])
	return served[keyID+" after"] > 0, nil
}
