package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["pause"] = pauseWithLinks }

const linkBudgetMs = 5000

// linkConn is a connection of a client of signed links, which has been used before.
type linkConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// request writes a request for a part of a replay, and returns when its last byte was written.
func (l *linkConn) request(front, object string) (written time.Time, err error) {
	uri := "http://" + front + "/replay/" + object
	_, err = fmt.Fprintf(l.conn, "GET /replay/%s?URISigningPackage=%s HTTP/1.1\r\nHost: %s\r\nX-Budget-Ms: %d\r\n\r\n",
		object, sign(keyID, firstSecret, linkClaims(uri, "", time.Now().Unix()+60)), front, linkBudgetMs)
	return time.Now(), err
}

func (l *linkConn) answer() (status int, err error) {
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// pauseWithLinks empties a proxy by PAUSE, and looks 4 s later whether clients of signed links still hold connections and get served.
func pauseWithLinks(w *world, trouble bool) (broken bool, err error) {
	if err := w.startServers(); err != nil {
		return false, err
	}
	front := freeAddr()
	p, err := w.newProxy("n1", 0, 1, map[string]any{"signed": signedPart(front)})
	if err != nil {
		return false, err
	}
	p.console = freeAddr()
	if err := errors.Join(p.start(), p.awaitReady(20*time.Second), awaitLink(front, "/asset/7f3a9c21e0b4d655")); err != nil {
		return false, err
	}
	dial := func() *linkConn {
		conn, err := net.Dial("tcp", front)
		if err != nil {
			return nil
		}
		return &linkConn{conn, bufio.NewReader(conn)}
	}
	get := func(l *linkConn) (status int, err error) {
		if _, err := l.request(front, randomID()); err != nil {
			return 0, err
		}
		return l.answer()
	}
	resting, busy := dial(), dial()
	platform, err := dialClient(p.listen)
	if resting == nil || busy == nil || err != nil {
		return false, errors.New("no connection")
	}
	defer resting.conn.Close()
	defer busy.conn.Close()
	for _, l := range []*linkConn{resting, busy} {
		if status, err := get(l); err != nil || status != http.StatusOK {
			return false, fmt.Errorf("a link was not served before the pause: %d %w", status, err)
		}
	}
	if word, _, err := platform.read(randomID(), randomID()); err != nil || word != "ok" {
		return false, fmt.Errorf("a read was not served before the pause: %s %w", word, err)
	}
	if trouble {
		if answer, err := p.call("PAUSE"); err != nil || !strings.HasPrefix(answer, "SUCCESS") {
			return false, errors.New("PAUSE was not accepted")
		}
	}
	began := time.Now()
	served, ended := 0, false
	for time.Since(began) < 4100*time.Millisecond {
		time.Sleep(200 * time.Millisecond)
		if ended {
			continue
		}
		status, err := get(busy)
		w.rec.printf("client: link asked for %.0f ms after the call: %d %v", time.Since(began).Seconds()*1000, status, err)
		if ended = err != nil; err == nil && status == http.StatusOK && time.Since(began) > 2100*time.Millisecond {
			served++
		}
	}
	text, _ := p.call("STATUS")
	held := func(conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	idle, idlePlatform := held(resting.conn), held(platform.conn)
	w.rec.say("4 s after the call: STATUS %s; idle connection of signed links held %v, of the platform's protocol %v; %d links of the last 2 s served",
		strings.TrimSpace(text), idle, idlePlatform, served)
	if !trouble {
		return false, nil
	}
	return idle || served > 0, nil
}
