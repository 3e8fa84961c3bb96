package main

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["claim"] = claimWithoutLeader }

const (
	claimBudget = 1200 // ms; the pages: a try is given up after 50 to 100% of the give-up time, further tries have less
	claimLate   = 550  // ms after its time: half a second, and 50 ms for real sockets
	claimsEach  = 8    // at each member that runs
)

var leaderPattern = regexp.MustCompile(`leader (n[0-9])`)

// leader returns the member that leads, as a member says.
func (w *world) leader(p *proxy) (name string, err error) {
	text, err := w.command("cluster", "status", "--operator", p.operator)
	if err != nil {
		return "", err
	}
	found := leaderPattern.FindStringSubmatch(text)
	if found == nil {
		return "", errors.New("no leader is known")
	}
	return found[1], nil
}

// claimWithoutLeader makes the member that leads fall silent, and claims seats at the others.
func claimWithoutLeader(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	c, err := w.newCluster(true)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	leader, err := w.leader(c.proxies[0])
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	late, answered := 0, map[int]int{}
	claim := func(member, n int) {
		defer wg.Done()
		uri := "http://" + c.fronts[member] + "/" + writeClass + "/" + randomID()
		request, err := http.NewRequest("POST", uri, strings.NewReader("seat 12"))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+sign(keyID, firstSecret, linkClaims(uri, "claim-"+randomID(), time.Now().Unix()+60)))
		request.Header.Set("X-Budget-Ms", fmt.Sprint(claimBudget))
		sent, status := time.Now(), 0
		response, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}).Do(request)
		if err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		took := time.Since(sent).Milliseconds()
		w.rec.printf("client: claim %d at n%d: %d %v after %d ms, its time is %d ms", n, member+1, status, err, took, claimBudget)
		mu.Lock()
		defer mu.Unlock()
		answered[status]++
		if took > claimBudget+claimLate {
			late++
		}
	}
	for i, p := range c.proxies { // each front has served before
		if p.name != leader {
			wg.Add(1)
			claim(i, -1)
		}
	}
	if late > 0 {
		return false, errors.New("claims were late before the disruption")
	}
	if trouble {
		for _, p := range c.proxies {
			if p.name == leader {
				w.rec.printf("proxy %s, which leads: silent from now on (SIGSTOP)", p.name)
				_ = p.cmd.Process.Signal(syscall.SIGSTOP)
				defer func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }()
			}
		}
	}
	for n := range claimsEach {
		for i, p := range c.proxies {
			if p.name != leader {
				wg.Add(1)
				go claim(i, n)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	w.rec.say("answers %v; %d claims were answered later than %d ms after their time of %d ms", answered, late, claimLate, claimBudget)
	return late > 0, nil
}
