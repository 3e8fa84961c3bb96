package serverlist

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Format returns a list as one list file with one entry per line. Parse accepts the result.
func Format(l *List) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{\n  \"generation\": %d,\n  \"servers\": [\n", l.Generation)
	for i, s := range l.Servers {
		fmt.Fprintf(&b, "    %s", formatServer(s))
		if i < len(l.Servers)-1 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "  ],\n  \"end\": %d\n}\n", l.Generation)
	return b.Bytes()
}

func formatServer(s Server) []byte {
	e := serverJSON{
		ID: FormatID(s.ID), Addr: joinHostPort(s.Host, s.Port), Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Weight: s.Weight,
		Started: s.StartedMs, Warm: s.Warm,
	}
	if s.Draining {
		e.State = "draining"
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return []byte("null") // the weight is not finite; Parse rejects the entry
	}
	return raw
}
