package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["keyed"] = keyedTwice }

const keyedWrites = 20 // by each front

// keyedTwice sends writes of a class whose repeats the main store drops by their key, over both fronts, and has connections reset
// under some that have run.
func keyedTwice(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front := freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front)})
	if err != nil {
		return false, err
	}
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second), awaitLink(front, "/asset/7f3a9c21e0b4d655")); err != nil {
		return false, err
	}
	c, err := dialClient(p.listen)
	if err != nil {
		return false, err
	}
	first := map[string]bool{}
	ran := 0
	// One write in four of each front, whose writes alternate, as it runs for the first time. Called with the fleet's lock held.
	w.fleet.resets = func(s fetchSeen) bool {
		if first[s.object] {
			return false
		}
		first[s.object] = true
		ran++
		return trouble && (ran-1)/2%4 == 0
	}
	twice := map[string]int{}
	send := func(front string, object string, call func() (string, error)) {
		answer, err := call()
		time.Sleep(50 * time.Millisecond)
		runs := len(w.fleet.writesOf(object))
		w.rec.printf("client of the %s front: write of %s answered %q %v; it ran %d times", front, object, answer, err, runs)
		if runs > 1 {
			twice[front]++
		}
	}
	for range keyedWrites {
		object := randomID()
		send("platform's", object, func() (string, error) {
			fields := fmt.Sprintf("rid=%s,budget=2400,obj=%s,nth=0,batch=%d,mem=1.5,token=%s", randomID(), object, objectGroup, randomID()+randomID())
			answer, err := c.exchange(4*time.Second, "RPC.CALL", c.nextTag(), keyedClass, fields, "report 12")
			return strings.Join(answer, " "), err
		})
		object = randomID()
		send("signed", object, func() (string, error) {
			uri := "/" + keyedClass + "/" + object
			token := sign(keyID, firstSecret, linkClaims("http://"+front+uri, "report-"+randomID(), time.Now().Unix()+60))
			status, body, err := post(front, uri, token, "report 12")
			return fmt.Sprint(status, " ", body), err
		})
	}
	w.rec.say("writes that ran twice: %d of %d of the signed front, %d of %d of the platform's front",
		twice["signed"], keyedWrites, twice["platform's"], keyedWrites)
	return len(twice) > 0, nil
}
