package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["halfclose"] = halfClose }

// halfClose sends seat claims over the signed front on connections whose clients then close their sending side and read on.
func halfClose(w *world, trouble bool) (broken bool, err error) {
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
	const claims = 10
	unreal := 0
	for range claims {
		seat := randomID()
		uri := "http://" + front + "/" + writeClass + "/" + seat
		token := sign(keyID, firstSecret, linkClaims(uri, "claim-"+randomID(), time.Now().Unix()+60))
		conn, err := net.Dial("tcp", front)
		if err != nil {
			return false, err
		}
		fmt.Fprintf(conn, "POST /%s/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 7\r\nConnection: close\r\n\r\nseat 12",
			writeClass, seat, front, token)
		if trouble {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		answer, err := io.ReadAll(conn)
		conn.Close()
		runs := len(w.fleet.writesOf(seat))
		w.rec.printf("client: claim of %s answered %q %v; it ran %d times", seat, answer, err, runs)
		if strings.HasPrefix(string(answer), "HTTP/1.1 200") && runs == 0 {
			unreal++
		}
	}
	w.rec.say("%d of %d claims answered 200 that never ran", unreal, claims)
	return unreal > 0, nil
}
