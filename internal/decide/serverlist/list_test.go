package serverlist_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/serverlist"
)

var requirements = serverlist.Requirements{
	Zones: []string{"hub", "east", "west"}, Kinds: []string{"small", "parent", "origin"},
	ParentKind: "parent", OriginKind: "origin", ClientZones: []string{"east"}, OriginRequired: true, MaxDropped: 0.5,
}

const (
	origin = `{"id": "s-00000014", "addr": "127.0.0.20:4100", "zone": "hub", "kind": "origin", "weight": 9}`
	east1  = `{"id": "s-00000001", "addr": "cache1.example.org:4100", "zone": "east", "kind": "small", "weight": 4}`
	east2  = `{"id": "s-00000002", "addr": "127.0.0.2:4100", "zone": "east", "kind": "small", "weight": 4}`
	east3  = `{"id": "s-00000003", "addr": "127.0.0.3:4100", "zone": "east", "kind": "small", "weight": 4}`
	west4  = `{"id": "s-00000004", "addr": "[::1]:4100", "zone": "west", "kind": "small", "weight": 4}`
)

// list returns a list file with one entry per line, from line 2 on.
func list(generation int, entries ...string) string {
	return fmt.Sprintf("{\"generation\": %d, \"servers\": [\n%s],\n\"end\": %[1]d}", generation, strings.Join(entries, ",\n"))
}

// resolutions are the answers of the tests' resolver. Hosts that are not in it have no address.
var resolutions = map[string]serverlist.Resolution{
	"cache1.example.org": {Addrs: []string{"127.0.1.1"}}, "cache2.example.org": {Addrs: []string{"127.0.1.1"}},
	"127.0.0.2": {Addrs: []string{"127.0.0.2"}}, "127.0.0.3": {Addrs: []string{"127.0.0.3"}},
	"127.0.0.20": {Addrs: []string{"127.0.0.20"}}, "::1": {Addrs: []string{"::1"}}, "0:0:0:0:0:0:0:1": {Addrs: []string{"::1"}},
	"::ffff:127.0.0.2": {Addrs: []string{"127.0.0.2"}}, "hangs.example.org": {Failure: "can't be resolved: no answer in 2 s"},
	"many.example.org": {Addrs: []string{"127.0.1.9", "127.0.1.8"}},
}

// parseAndResolve parses and resolves one file. It returns the list, or the defects as lines ("": none).
func parseAndResolve(text string, current *serverlist.List) (*serverlist.List, string) {
	d, defects := serverlist.Parse([]serverlist.File{{Name: "l", Data: []byte(text)}}, requirements)
	if defects != nil {
		return nil, defects.Error()
	}
	resolved, defects := d.Resolve(resolutions, current)
	if defects != nil {
		return nil, defects.Error()
	}
	return resolved, ""
}

// replace replaces a text that the entry must have.
func replace(entry, from, to string) string {
	if !strings.Contains(entry, from) {
		panic(from)
	}
	return strings.Replace(entry, from, to, 1)
}

// An invalid list is rejected with all of its defects.
func TestRejectsInvalidLists(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"truncated":        {list(1, origin, east1)[:80], "l:2:50: ends too early: parsing string: unexpected EOF"},
		"an unknown field": {list(1, origin, replace(east1, `"zone"`, `"Zone"`)), `l:3:57: unknown field "Zone"; did you mean "zone"?`},
		"no generation":    {`{"servers": [` + origin + "," + east1 + `], "end": 1}`, "l:1:1: generation is missing"},
		"generation 0":     {list(0, origin, east1), "l:1:16: generation is 0, but must be 1 or more"},
		"no end":           {`{"generation": 1, "servers": [` + origin + "," + east1 + `]}`, "l:1:1: end is missing: the last field of the file must repeat the generation"},
		"two generations":  {strings.Replace(list(1, origin, east1), `"end": 1`, `"end": 2`, 1), "l:4:8: end is 2, but generation is 1: the file is only partly written"},
		"no servers":       {`{"generation": 1, "end": 1}`, "l:1:1: servers is missing"},
		"an id twice":      {list(1, origin, east1, replace(east2, "02", "01")), "l:4:8: id s-00000001 is also used at l:3:1"},
		"an id in capitals": {list(1, origin, east1, replace(east2, "s-00000002", "s-0000000A")),
			`l:4:8: id "s-0000000A" is not of the form s-00c41f7a`},
		"an address twice": {list(1, origin, east1, replace(east2, "127.0.0.2", "127.0.0.20")), "l:4:30: address 127.0.0.20:4100 is also used by s-00000014 at l:2:1"},
		"a host twice": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "CACHE1.Example.org.:4100")),
			"l:4:30: address cache1.example.org:4100 is also used by s-00000001 at l:3:1"},
		"a port twice": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "cache1.example.org:04100")),
			"l:4:30: address cache1.example.org:4100 is also used by s-00000001 at l:3:1"},
		"two names of one host": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "cache2.example.org:4100")),
			"l:4:30: cache2.example.org resolves to 127.0.1.1:4100, which is also the address of s-00000001 at l:3:1"},
		"an IPv6 host twice": {list(1, origin, east1, west4, replace(east2, "127.0.0.2", "[0:0:0:0:0:0:0:1]")),
			"l:4:30: ::1 resolves to [::1]:4100, which is also the address of s-00000002 at l:5:1"},
		"an IPv4 host in IPv6": {list(1, origin, east1, east2, replace(east3, "127.0.0.3", "[::ffff:127.0.0.2]")),
			"l:5:30: ::ffff:127.0.0.2 resolves to 127.0.0.2:4100, which is also the address of s-00000002 at l:4:1"},
		"a resolver that does not answer": {list(1, origin, east1, replace(east2, "127.0.0.2", "hangs.example.org")),
			"l:4:30: hangs.example.org can't be resolved: no answer in 2 s"},
		"a name without address": {list(1, origin, east1, replace(east2, "127.0.0.2", "none.example.org")), "l:4:30: none.example.org has no address"},
		"no port":                {list(1, origin, east1, replace(east2, ":4100", "")), `l:4:30: addr "127.0.0.2" has no port`},
		"port 0":                 {list(1, origin, east1, replace(east2, ":4100", ":0")), `l:4:30: addr "127.0.0.2:0" has the port "0", which is not a number from 1 to 65535`},
		"a host with a space":    {list(1, origin, east1, replace(east2, "127.0.0.2", "a b")), `l:4:30: addr "a b:4100" has a host that is neither an IP address nor a host name`},
		"an unknown zone":        {list(1, origin, east1, replace(east2, "east", "north")), `l:4:56: unknown zone "north"`},
		"an unknown kind":        {list(1, origin, east1, replace(east2, "small", "big")), `l:4:72: unknown kind "big"`},
		"an unknown state":       {list(1, origin, east1, replace(east2, `"weight"`, `"state": "up", "weight"`)), `l:4:90: state "up" is neither ready nor draining`},
		"no weight":              {list(1, origin, east1, replace(east2, `, "weight": 4`, "")), "l:4:1: weight is missing"},
		"weight 0":               {list(1, origin, east1, replace(east2, `: 4}`, ": 0}")), "l:4:91: weight 0 is not above 0 and at most 1e+06"},
		"an infinite weight":     {list(1, origin, east1, replace(east2, `: 4}`, ": 1e999}")), "l:4:91: must be a finite number, not 1e999"},
		"no origin":              {list(1, east1), `l:1:30: no ready server of kind "origin", which request classes that write need`},
		"no cache for clients": {list(1, origin, replace(east1, `"weight"`, `"state": "draining", "weight"`), west4),
			`l:1:30: no ready cache in zone "east", which has clients`},
	} {
		set, got := parseAndResolve(c.text, nil)
		assert.Equal(t, c.want, got, name)
		assert.Nil(t, set, name)
	}
}

// A list may follow the one in use only if its generation and the number of servers that it drops allow it. A server keeps its
// address while its host still resolves to it.
func TestAcceptsOnlyValidChanges(t *testing.T) {
	old, defects := parseAndResolve(list(7, origin, east1, east2, east3, west4), nil)
	require.Empty(t, defects)
	same, defects := parseAndResolve("// saved again\n"+list(7, west4, east1, origin, east3, east2), old)
	require.Empty(t, defects)
	require.Same(t, old, same, "a file that is saved again unchanged changes nothing")
	for text, want := range map[string]string{
		list(6, origin, east1, east2, east3, west4): "l:1:16: generation goes back from 7 to 6",
		list(7, origin, east1, east2, east3):        "l:1:16: generation 7 is already used for another list: a changed list needs a higher one",
		list(8, origin, east1):                      "l:1:16: takes 3 of 5 ready servers out of use; at most 2 are allowed without \"force\": true",
		list(8, origin, east1, east2, replace(east3, `"weight"`, `"state": "draining", "weight"`)): "",
		strings.Replace(list(8, origin, east1), "{", `{"force": true, `, 1):                        "",
	} {
		_, got := parseAndResolve(text, old)
		require.Equal(t, want, got, text)
	}
	next, defects := parseAndResolve(list(8, origin, replace(east1, `: 4}`, ": 6}"), replace(east2, `"weight"`, `"state": "draining", "weight"`), west4,
		replace(replace(east3, "3\"", "5\""), "127.0.0.3", "many.example.org")), old)
	require.Empty(t, defects)
	var lines []string
	for _, c := range serverlist.Diff(old, next) {
		lines = append(lines, fmt.Sprintf("%s %s %s", serverlist.FormatID(c.ID), c.Kind, c.Text))
	}
	require.Equal(t, []string{
		"s-00000001 re-weighted from 4 to 6",
		"s-00000002 drained 127.0.0.2:4100, draining",
		"s-00000003 dropped 127.0.0.3:4100: drains, then is gone",
		"s-00000005 added 127.0.1.8:4100 in east, small, weight 4",
	}, lines)

	// A name with several addresses keeps the one in use as long as it is among them, and changes to another one after that.
	resolutions["many.example.org"] = serverlist.Resolution{Addrs: []string{"127.0.1.7", "127.0.1.8"}}
	text := list(8, origin, replace(east1, `: 4}`, ": 6}"), replace(east2, `"weight"`, `"state": "draining", "weight"`), west4,
		replace(replace(east3, "3\"", "5\""), "127.0.0.3", "many.example.org"))
	again, defects := parseAndResolve(text, next)
	require.Empty(t, defects)
	require.Same(t, next, again)
	resolutions["many.example.org"] = serverlist.Resolution{Addrs: []string{"127.0.1.7"}}
	moved, defects := parseAndResolve(text, next)
	require.Empty(t, defects)
	require.Equal(t, serverlist.ChangeMoved, serverlist.Diff(next, moved)[0].Kind)
	// The name resolves to the address of another server: the list is rejected.
	resolutions["many.example.org"] = serverlist.Resolution{Addrs: []string{"127.0.0.2"}}
	_, got := parseAndResolve(text, next)
	require.Contains(t, got, "the address of s-00000002")
}

func part(entries ...string) []byte {
	return []byte("{\"servers\": [\n" + strings.Join(entries, ",\n") + "]}")
}

func manifest(generation int, parts map[string][]byte, names ...string) serverlist.File {
	var lines []string
	for _, n := range names {
		lines = append(lines, fmt.Sprintf(`{"file": %q, "sha256": "%x"}`, n, sha256.Sum256(parts[n])))
	}
	return serverlist.File{Name: "d/manifest.jsonc", Data: fmt.Appendf(nil, "{\"generation\": %d, \"parts\": [\n%s],\n\"end\": %[1]d}",
		generation, strings.Join(lines, ",\n"))}
}

// A directory is accepted only if every part is there, unchanged since the manifest was written.
func TestAcceptsOnlyCompleteParts(t *testing.T) {
	parts := map[string][]byte{"hub.jsonc": part(origin), "east.jsonc": part(east1, east2), "new.jsonc": part(east1, east3)}
	files := func(m serverlist.File, names ...string) []serverlist.File {
		out := []serverlist.File{m}
		for _, n := range names {
			out = append(out, serverlist.File{Name: "d/" + n, Data: parts[n]})
		}
		return out
	}
	complete := manifest(3, parts, "hub.jsonc", "east.jsonc")
	d, defects := serverlist.Parse(files(complete, "hub.jsonc", "east.jsonc", "new.jsonc"), requirements)
	require.NoError(t, defects.Err())
	require.Len(t, d.Servers, 3)
	for name, c := range map[string]struct {
		files []serverlist.File
		want  string
	}{
		"a part that is missing": {files(complete, "hub.jsonc"), "d/manifest.jsonc:3:10: part east.jsonc is missing"},
		"a part that was changed": {
			[]serverlist.File{complete, {Name: "d/hub.jsonc", Data: parts["hub.jsonc"]}, {Name: "d/east.jsonc", Data: parts["new.jsonc"]}},
			fmt.Sprintf("d/manifest.jsonc:3:34: part east.jsonc does not match this hash; its own starts with %x", sha256Prefix(parts["new.jsonc"])),
		},
		"no manifest":                  {files(complete, "hub.jsonc", "east.jsonc")[1:], "d:1:1: 2 files, but no manifest.jsonc that names them"},
		"a part twice":                 {files(manifest(3, parts, "hub.jsonc", "hub.jsonc"), "hub.jsonc"), "d/manifest.jsonc:3:10: part hub.jsonc is named twice"},
		"a path outside the directory": {files(manifest(3, parts, "../hub.jsonc"), "hub.jsonc"), "d/manifest.jsonc:2:10: \"../hub.jsonc\" is not the name of a part in this directory"},
		"an id in two parts":           {files(manifest(3, parts, "hub.jsonc", "east.jsonc", "new.jsonc"), "hub.jsonc", "east.jsonc", "new.jsonc"), "d/new.jsonc:2:8: id s-00000001 is also used at d/east.jsonc:2:1\nd/new.jsonc:2:30: address cache1.example.org:4100 is also used by s-00000001 at d/east.jsonc:2:1"},
	} {
		_, defects := serverlist.Parse(c.files, requirements)
		require.EqualError(t, defects.Err(), c.want, name)
	}
}

func sha256Prefix(b []byte) []byte { s := sha256.Sum256(b); return s[:6] }

// A list that is written over another one byte by byte, with or without truncation, is not accepted before it is complete.
func TestListWrittenInPlaceIsRejectedUntilComplete(t *testing.T) {
	before, after := list(7, origin, east1, east2), list(8, origin, east1, east3)
	old, defects := parseAndResolve(before, nil)
	require.Empty(t, defects)
	for i := range len(after) {
		if accepted, defects := parseAndResolve(after[:i], old); defects == "" {
			t.Fatalf("accepted when cut at byte %d: %v", i, accepted)
		}
		// The rest may be the same in both, so that the text is the new list already. Another text may only be the old list.
		if i < len(before) && after[:i]+before[i:] != after {
			if accepted, defects := parseAndResolve(after[:i]+before[i:], old); defects == "" {
				require.Same(t, old, accepted, "%d", i)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(list(1, origin, east1, east2, west4)))
	f.Add([]byte(list(1, origin, replace(east1, "cache1.example.org", "[::1%lo]"))))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, defects := serverlist.Parse([]serverlist.File{{Name: "l", Data: text}}, requirements)
		require.Equal(t, defects == nil, d != nil)
		if d != nil {
			_, _ = d.Resolve(resolutions, nil)
		}
	})
}

// largeList returns a list of n servers with literal addresses, an origin, and a server with a host name.
func largeList(n int) []serverlist.File {
	entries := []string{origin, east1}
	for i := range n {
		entries = append(entries, fmt.Sprintf(`{"id": "s-%08x", "addr": "127.1.%d.%d:4100", "zone": "east", "kind": "small", "weight": 4}`, 100+i, i/250, i%250+1))
	}
	return []serverlist.File{{Name: "l", Data: []byte(list(1, entries...))}}
}

func BenchmarkParse10k(b *testing.B) {
	files := largeList(10_000)
	known := map[string]serverlist.Resolution{}
	d, defects := serverlist.Parse(files, requirements)
	require.NoError(b, defects.Err())
	for _, h := range d.Hosts() {
		known[h] = serverlist.Resolution{Addrs: []string{h}}
	}
	b.SetBytes(int64(len(files[0].Data)))
	b.ReportAllocs()
	for b.Loop() {
		d, _ := serverlist.Parse(files, requirements)
		if _, defects := d.Resolve(known, nil); defects != nil {
			b.Fatal(defects)
		}
	}
}
