package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["links"] = linksAfterAbsence }

// linksAfterAbsence kills one of three members of the store, starts it again, and follows valid signed links there.
func linksAfterAbsence(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(true)
	if err != nil {
		return false, err
	}
	p, front := c.proxies[2], c.fronts[2]
	if trouble {
		w.rec.printf("proxy %s: SIGKILL", p.name)
		p.kill()
		time.Sleep(absence)
		if err := errors.Join(p.start(), p.awaitReady(20*time.Second)); err != nil {
			return false, err
		}
	}
	answered, last, began := map[int]int{}, 0*time.Second, time.Now()
	for time.Since(began) < readsFor {
		status, _, err := getLink(front, "/asset/"+randomID(), keyID, firstSecret, time.Now().Unix()+60)
		w.rec.printf("client: link followed: %d %v", status, err)
		if answered[status]++; status == http.StatusUnauthorized {
			last = time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.say("answers to valid links %v, the last 401 %.1f s after the process was ready", answered, last.Seconds())
	return answered[http.StatusUnauthorized] > 0, nil
}
