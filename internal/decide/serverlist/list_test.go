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

// list returns a list file, an entry a line from line 2 on.
func list(generation int, entries ...string) string {
	return fmt.Sprintf("{\"generation\": %d, \"servers\": [\n%s],\n\"end\": %[1]d}", generation, strings.Join(entries, ",\n"))
}

var resolutions = map[string]serverlist.Resolution{
	"cache1.example.org": {Addrs: []string{"127.0.1.1"}}, "cache2.example.org": {Addrs: []string{"127.0.1.1"}},
	"127.0.0.2": {Addrs: []string{"127.0.0.2"}}, "127.0.0.3": {Addrs: []string{"127.0.0.3"}},
	"127.0.0.20": {Addrs: []string{"127.0.0.20"}}, "::1": {Addrs: []string{"::1"}}, "0:0:0:0:0:0:0:1": {Addrs: []string{"::1"}},
	"::ffff:127.0.0.2": {Addrs: []string{"127.0.0.2"}}, "hangs.example.org": {Failure: "can't be resolved: no answer in 2 s"},
	"many.example.org": {Addrs: []string{"127.0.1.9", "127.0.1.8"}},
}

// parseAndResolve parses and resolves one file; the defects are lines, "" for none.
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

func replace(entry, from, to string) string {
	if !strings.Contains(entry, from) {
		panic(from)
	}
	return strings.Replace(entry, from, to, 1)
}

// Each invalid list is rejected with these defects.
func TestRejectsInvalidLists(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"truncated":        {list(1, origin, east1)[:80], "l:2:50: ends too early: parsing string: unexpected EOF"},
		"an unknown field": {list(1, origin, replace(east1, `"zone"`, `"Zone"`)), `l:3:57: unknown field "Zone"; did you mean "zone"?`},
		"no generation":    {`{"servers": [` + origin + "," + east1 + `], "end": 1}`, "l:1:1: generation is missing"},
		"generation 0":     {list(0, origin, east1), "l:1:16: generation counts from 1"},
		"no end":           {`{"generation": 1, "servers": [` + origin + "," + east1 + `]}`, "l:1:1: end is missing: it gives the generation once more, behind all else"},
		"torn":             {strings.Replace(list(1, origin, east1), `"end": 1`, `"end": 2`, 1), "l:4:8: end says 2, generation 1: the file is half written"},
		"no servers":       {`{"generation": 1, "end": 1}`, "l:1:1: servers is missing"},
		"two ids alike":    {list(1, origin, east1, replace(east2, "02", "01")), "l:4:8: id s-00000001 is that of l:3:1 too"},
		"an id in capitals": {list(1, origin, east1, replace(east2, "s-00000002", "s-0000000A")),
			`l:4:8: id "s-0000000A" is not of the form s-00c41f7a`},
		"an address twice": {list(1, origin, east1, replace(east2, "127.0.0.2", "127.0.0.20")), "l:4:30: 127.0.0.20:4100 is the address of s-00000014 at l:2:1 too"},
		"a host twice": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "CACHE1.Example.org.:4100")),
			"l:4:30: cache1.example.org:4100 is the address of s-00000001 at l:3:1 too"},
		"a port twice": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "cache1.example.org:04100")),
			"l:4:30: cache1.example.org:4100 is the address of s-00000001 at l:3:1 too"},
		"two names of one host": {list(1, origin, east1, replace(east2, "127.0.0.2:4100", "cache2.example.org:4100")),
			"l:4:30: cache2.example.org is 127.0.1.1:4100, the address of s-00000001 at l:3:1 too"},
		"an IPv6 host twice": {list(1, origin, east1, west4, replace(east2, "127.0.0.2", "[0:0:0:0:0:0:0:1]")),
			"l:4:30: ::1 is [::1]:4100, the address of s-00000002 at l:5:1 too"},
		"an IPv4 host in IPv6": {list(1, origin, east1, east2, replace(east3, "127.0.0.3", "[::ffff:127.0.0.2]")),
			"l:5:30: ::ffff:127.0.0.2 is 127.0.0.2:4100, the address of s-00000002 at l:4:1 too"},
		"a resolver that hangs": {list(1, origin, east1, replace(east2, "127.0.0.2", "hangs.example.org")),
			"l:4:30: hangs.example.org can't be resolved: no answer in 2 s"},
		"a name nobody knows": {list(1, origin, east1, replace(east2, "127.0.0.2", "none.example.org")), "l:4:30: none.example.org has no address"},
		"no port":             {list(1, origin, east1, replace(east2, ":4100", "")), `l:4:30: addr "127.0.0.2" has no port`},
		"port 0":              {list(1, origin, east1, replace(east2, ":4100", ":0")), `l:4:30: addr "127.0.0.2:0" has no port from 1 to 65535 but "0"`},
		"a host of signs":     {list(1, origin, east1, replace(east2, "127.0.0.2", "a b")), `l:4:30: addr "a b:4100" has no host that can be looked up`},
		"an unknown zone":     {list(1, origin, east1, replace(east2, "east", "north")), `l:4:56: unknown zone "north"`},
		"an unknown kind":     {list(1, origin, east1, replace(east2, "small", "big")), `l:4:72: unknown kind "big"`},
		"an unknown state":    {list(1, origin, east1, replace(east2, `"weight"`, `"state": "up", "weight"`)), `l:4:90: state "up" is neither ready nor draining`},
		"no weight":           {list(1, origin, east1, replace(east2, `, "weight": 4`, "")), "l:4:1: weight is missing"},
		"weight 0":            {list(1, origin, east1, replace(east2, `: 4}`, ": 0}")), "l:4:91: weight 0 is not above 0 and at most 1e+06"},
		"an endless weight":   {list(1, origin, east1, replace(east2, `: 4}`, ": 1e999}")), "l:4:91: wants a finite number, not 1e999"},
		"no origin":           {list(1, east1), `l:1:30: no ready server of kind "origin", and there are classes that write`},
		"no cache for clients": {list(1, origin, replace(east1, `"weight"`, `"state": "draining", "weight"`), west4),
			`l:1:30: no ready cache in zone "east", which has clients`},
	} {
		set, got := parseAndResolve(c.text, nil)
		assert.Equal(t, c.want, got, name)
		assert.Nil(t, set, name)
	}
}

// Which list may follow the one in use, and which addresses it gets.
func TestAcceptsOnlyValidChanges(t *testing.T) {
	old, defects := parseAndResolve(list(7, origin, east1, east2, east3, west4), nil)
	require.Empty(t, defects)
	same, defects := parseAndResolve("// saved again\n"+list(7, west4, east1, origin, east3, east2), old)
	require.Empty(t, defects)
	require.Same(t, old, same, "a file that is saved again unchanged changes nothing")
	for text, want := range map[string]string{
		list(6, origin, east1, east2, east3, west4): "l:1:16: generation goes back from 7 to 6",
		list(7, origin, east1, east2, east3):        "l:1:16: generation 7 was used for another list: give a changed list the next one",
		list(8, origin, east1):                      "l:1:16: takes 3 of 5 ready servers out of use, 2 at the most without \"force\": true",
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

	// A name with several addresses keeps the one in use while it is among them, and moves then.
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
	// It moves to the address of another server: the list is rejected.
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

// A directory is accepted only when every part is there, unchanged since its manifest.
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
		"a part that is missing": {files(complete, "hub.jsonc"), "d/manifest.jsonc:3:10: east.jsonc is not there"},
		"a part of another time": {
			[]serverlist.File{complete, {Name: "d/hub.jsonc", Data: parts["hub.jsonc"]}, {Name: "d/east.jsonc", Data: parts["new.jsonc"]}},
			fmt.Sprintf("d/manifest.jsonc:3:34: east.jsonc has the hash %x: it is not the part that was meant", sha256Prefix(parts["new.jsonc"])),
		},
		"no manifest":         {files(complete, "hub.jsonc", "east.jsonc")[1:], "d:1:1: 2 files and no manifest.jsonc to bind them"},
		"a part twice":        {files(manifest(3, parts, "hub.jsonc", "hub.jsonc"), "hub.jsonc"), "d/manifest.jsonc:3:10: hub.jsonc is named twice"},
		"a path out of there": {files(manifest(3, parts, "../hub.jsonc"), "hub.jsonc"), "d/manifest.jsonc:2:10: \"../hub.jsonc\" is no part of this directory"},
		"an id in two parts":  {files(manifest(3, parts, "hub.jsonc", "east.jsonc", "new.jsonc"), "hub.jsonc", "east.jsonc", "new.jsonc"), "d/new.jsonc:2:8: id s-00000001 is that of d/east.jsonc:2:1 too\nd/new.jsonc:2:30: cache1.example.org:4100 is the address of s-00000001 at d/east.jsonc:2:1 too"},
	} {
		_, defects := serverlist.Parse(c.files, requirements)
		require.EqualError(t, defects.Err(), c.want, name)
	}
}

func sha256Prefix(b []byte) []byte { s := sha256.Sum256(b); return s[:6] }

// A list written over another one byte by byte, with or without truncation, is not accepted before it is complete.
func TestListWrittenInPlaceIsRejectedUntilComplete(t *testing.T) {
	before, after := list(7, origin, east1, east2), list(8, origin, east1, east3)
	old, defects := parseAndResolve(before, nil)
	require.Empty(t, defects)
	for i := range len(after) {
		if accepted, defects := parseAndResolve(after[:i], old); defects == "" {
			t.Fatalf("cut at %d: %v", i, accepted)
		}
		// What is left to write may be the same in both.
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

// largeList returns a list of n servers, an origin and a named one.
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
