package serverlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Format writes a set as one list file, an entry a line. What it writes, Parse reads.
func Format(s *List) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{\n  \"generation\": %d,\n  \"servers\": [\n", s.Generation)
	for i, x := range s.Servers {
		e := entryForm{
			ID: FormatID(x.ID), Addr: x.Host + ":" + strconv.Itoa(x.Port), Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, Weight: x.Weight,
			Started: x.StartedMs, Warm: x.Warm,
		}
		if strings.Contains(x.Host, ":") {
			e.Addr = "[" + x.Host + "]:" + strconv.Itoa(x.Port)
		}
		if x.Draining {
			e.State = "draining"
		}
		raw, err := json.Marshal(e)
		if err != nil {
			raw = []byte("null") // a weight that is no number, which Parse refuses
		}
		fmt.Fprintf(&b, "    %s", raw)
		if i < len(s.Servers)-1 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "  ],\n  \"end\": %d\n}\n", s.Generation)
	return b.Bytes()
}
