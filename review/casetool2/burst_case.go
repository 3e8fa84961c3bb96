package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["burst"] = burst }

const (
	// burstClients is under a third of the 1,024 descriptors, which clients may hold.
	burstClients = 300
	// crossing is how long before the end of a connection a request may be sent that is sent again, once, on a new connection.
	crossing = 50 * time.Millisecond
)

// ask sends one request by a signed link on a new connection. sent reports whether it was written whole, and answered whether a whole
// answer came; closedAfter is the time from the request's last byte to the end of the connection.
func (m *member) ask(link, object string) (result string, sent, answered bool, closedAfter time.Duration) {
	conn, err := net.DialTimeout("tcp", m.signed, time.Second)
	if err != nil {
		return "the connection is refused", false, false, 0
	}
	defer conn.Close()
	request := fmt.Sprintf("GET /asset/%s?URISigningPackage=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", object, link, m.signed)
	if _, err := io.WriteString(conn, request); err != nil {
		return "the request was not written", false, false, 0
	}
	wrote := time.Now()
	_ = conn.SetReadDeadline(wrote.Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		if _, err = io.ReadAll(response.Body); err == nil {
			return response.Status, true, true, 0
		}
	}
	return fmt.Sprintf("no answer: %v", err), true, false, time.Since(wrote)
}

// burst: clients with signed links come at the same moment, fewer than the descriptors that clients may hold.
func burst(p *play) {
	s := newSite(p, "seat-claim")
	m := p.newMember("bangkok-1")
	m.writeOperatorFile(s, nil, 3000, "k1")
	m.start()
	m.awaitReady()
	link := token("k1", "", "asset", time.Now().Add(time.Hour))
	for i := range 16 {
		p.require(m.get(link, "asset", fmt.Sprintf("%016x", i)) == 200, "an object is not served")
	}
	s.delay = 80 * time.Millisecond
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range burstClients {
		if !p.trouble {
			time.Sleep(20 * time.Millisecond)
		}
		clients.Go(func() {
			result, sent, answered, closedAfter := m.ask(link, fmt.Sprintf("%016x", i%16))
			p.logf("client %d: %s", i, result)
			if sent && !answered && closedAfter <= crossing {
				result, sent, answered, closedAfter = m.ask(link, fmt.Sprintf("%016x", i%16))
				p.logf("client %d, sent again: %s", i, result)
			}
			if sent && !answered {
				mu.Lock()
				defer mu.Unlock()
				p.breach("the request of client %d was written whole; its connection ended %d ms later without an answer", i, closedAfter.Milliseconds())
			}
		})
	}
	clients.Wait()
}
