package filewatch_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

// harness is a watcher under a clock that advances while the test waits.
type harness struct {
	t    *testing.T
	dir  string
	path string
	clk  *clock.Clock
	src  *filewatch.Watcher

	mu       sync.Mutex
	accepted []uint64
}

func start(t *testing.T, path func(dir string) string) *harness {
	return startWithResolver(t, path, nil)
}

func startWithResolver(t *testing.T, path func(dir string) string, n resolver.Backend) *harness {
	r := &harness{t: t, dir: t.TempDir(), clk: clock.Manual(0)}
	r.path = path(r.dir)
	r.src = filewatch.New(filewatch.Options{
		Path: r.path, Requirements: serverlist.Requirements{OriginKind: "origin", OriginRequired: true}, Clock: r.clk,
		Debounce: debounce.Settings{QuietPeriod: 100, MaxDelay: 1000, PollInterval: 2000},
		Resolver: &resolver.Cache{Backend: n, Clock: r.clk, Timeout: 1000, TTL: 3000},
		OnList: func(s *serverlist.List) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.accepted = append(r.accepted, s.Generation)
		},
	}, nil)
	go r.src.Run()
	t.Cleanup(r.src.Close)
	return r
}

// advanceUntil lets time pass until ok.
func (r *harness) advanceUntil(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); {
		require.True(r.t, time.Now().Before(end), "never: %s: %+v", what, r.src.Status())
		r.clk.Advance(20)
		time.Sleep(time.Millisecond)
	}
}

// expectAccepted waits for the last of these generations and checks that just these were accepted, in order.
func (r *harness) expectAccepted(generations ...uint64) {
	r.t.Helper()
	require.Equal(r.t, generations, r.acceptedUntil(generations[len(generations)-1]))
}

// acceptedUntil waits for a generation and returns those accepted up to it, since the last call.
func (r *harness) acceptedUntil(last uint64) (accepted []uint64) {
	r.t.Helper()
	r.advanceUntil(fmt.Sprint("generation ", last), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		accepted = r.accepted
		return len(accepted) > 0 && accepted[len(accepted)-1] == last
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = nil
	return accepted
}

// expectRejected waits for a reason for which the list is rejected, and checks that the one in use stays.
func (r *harness) expectRejected(reason string) {
	r.t.Helper()
	in := r.src.Status().Generation
	r.advanceUntil("rejected: "+reason, func() bool { return strings.Contains(strings.Join(r.src.Status().Reasons, "\n"), reason) })
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(r.t, r.accepted)
	require.Equal(r.t, in, r.src.Status().Generation)
}

// waitForReads waits for a few more reads.
func (r *harness) waitForReads() {
	r.t.Helper()
	n := r.src.Status().Reads
	r.advanceUntil("reads", func() bool { return r.src.Status().Reads >= n+3 })
}

func list(generation int, hosts ...int) []byte {
	return fmt.Appendf(nil, "{\"generation\": %d, \"servers\": [%s],\n\"end\": %[1]d}", generation, entries(append(hosts, 20)...))
}

func entries(hosts ...int) string {
	var out []string
	for _, h := range hosts {
		kind := "small"
		if h == 20 {
			kind = "origin"
		}
		out = append(out, fmt.Sprintf(`{"id": "s-%08x", "addr": "127.0.0.%d:4100", "zone": "east", "kind": "%s", "weight": 4}`, h, h, kind))
	}
	return strings.Join(out, ",\n")
}

func (r *harness) write(path string, data []byte) {
	require.NoError(r.t, os.WriteFile(path, data, 0o600))
}

// replace writes a file and renames it over the old one.
func (r *harness) replace(path string, data []byte) {
	r.write(path+".tmp", data)
	require.NoError(r.t, os.Rename(path+".tmp", path))
}

func pathIn(dir string) string { return filepath.Join(dir, "servers.jsonc") }

// Each way of writing a list: only complete ones are accepted, each once.
func TestAcceptsCompleteListsOfAnyWriter(t *testing.T) {
	t.Run("renamed over, and saved again unchanged", testRenamedOver)
	t.Run("truncated, then written in steps of one byte", testWrittenInSteps)
	t.Run("written in place over a longer one", testWrittenInPlace)
	t.Run("a link that is switched, in the way of a projected volume", testSwitchedLink)
	t.Run("the directory is removed and made anew", testRemovedDirectory)
	t.Run("a directory filled part by part", testDirectoryOfParts)
	t.Run("many changes beside it, a pipe and a directory in its place", testOtherFilesAndTypes)
}

func testRenamedOver(t *testing.T) {
	r := start(t, pathIn)
	r.expectRejected("no such file")
	r.replace(r.path, list(1, 1))
	r.expectAccepted(1)
	r.replace(r.path, list(2, 1, 2))
	r.expectAccepted(2)
	r.replace(r.path, list(2, 1, 2))
	r.waitForReads()
	require.EqualValues(t, 2, r.src.Status().Accepted)
}

func testWrittenInSteps(t *testing.T) {
	r := start(t, pathIn)
	r.replace(r.path, list(1, 1))
	r.expectAccepted(1)
	text := list(2, 1, 2)
	f, err := os.Create(r.path)
	require.NoError(t, err)
	for i := range text {
		_, err := f.Write(text[i : i+1])
		require.NoError(t, err)
		if i%50 == 0 { // the writer stalls until the partial file is rejected
			r.expectRejected("servers.jsonc")
		}
	}
	require.NoError(t, f.Close())
	r.expectAccepted(2)
}

func testWrittenInPlace(t *testing.T) {
	r := start(t, pathIn)
	r.replace(r.path, list(1, 1, 2, 3))
	r.expectAccepted(1)
	f, err := os.OpenFile(r.path, os.O_WRONLY, 0)
	require.NoError(t, err)
	text := list(2, 1)
	_, err = f.Write(text)
	require.NoError(t, err)
	r.expectRejected("servers.jsonc") // the rest of the old one stands behind it
	require.NoError(t, f.Truncate(int64(len(text))))
	require.NoError(t, f.Close())
	r.expectAccepted(2)
}

func testSwitchedLink(t *testing.T) {
	r := start(t, pathIn)
	volume := func(n int, data []byte) {
		dir := fmt.Sprintf("..%d", n)
		require.NoError(t, os.Mkdir(filepath.Join(r.dir, dir), 0o700))
		r.write(filepath.Join(r.dir, dir, "servers.jsonc"), data)
		require.NoError(t, os.Symlink(dir, filepath.Join(r.dir, "..tmp")))
		require.NoError(t, os.Rename(filepath.Join(r.dir, "..tmp"), filepath.Join(r.dir, "..data")))
	}
	require.NoError(t, os.Symlink(filepath.Join("..data", "servers.jsonc"), r.path))
	volume(1, list(1, 1))
	r.expectAccepted(1)
	volume(2, list(2, 1, 2))
	r.expectAccepted(2)
	volume(3, []byte("{"))
	r.expectRejected("ends too early")
	volume(4, list(4, 1, 2))
	r.expectAccepted(4)
}

func testRemovedDirectory(t *testing.T) {
	r := start(t, func(dir string) string { return filepath.Join(dir, "a", "b", "servers.jsonc") })
	for n := 1; n <= 3; n++ {
		require.NoError(t, os.MkdirAll(filepath.Dir(r.path), 0o700))
		r.write(r.path, list(n, 1, n+1))
		r.expectAccepted(uint64(n))
		require.NoError(t, os.RemoveAll(filepath.Join(r.dir, "a")))
		r.expectRejected("no such file")
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(r.path), 0o700))
	r.write(r.path, list(3, 1, 4))
	r.advanceUntil("no longer rejected", func() bool { return len(r.src.Status().Reasons) == 0 })
	require.EqualValues(t, 3, r.src.Status().Accepted, "the list that came back is the one in use")
}

func testDirectoryOfParts(t *testing.T) {
	r := start(t, func(dir string) string { return dir })
	parts := map[string][]byte{
		"hub.jsonc":  []byte(`{"servers": [` + entries(20) + `]}`),
		"east.jsonc": []byte(`{"servers": [` + entries(1, 2) + `]}`),
	}
	manifest := func(n int) []byte {
		return fmt.Appendf(nil, `{"generation": %d, "parts": [{"file": "hub.jsonc", "sha256": "%x"}, {"file": "east.jsonc", "sha256": "%x"}], "end": %[1]d}`,
			n, sha256.Sum256(parts["hub.jsonc"]), sha256.Sum256(parts["east.jsonc"]))
	}
	r.expectRejected("holds no list")
	r.write(filepath.Join(r.dir, "manifest.jsonc"), manifest(1))
	r.expectRejected("hub.jsonc is not there")
	r.write(filepath.Join(r.dir, "hub.jsonc"), parts["hub.jsonc"])
	r.expectRejected("east.jsonc is not there")
	r.write(filepath.Join(r.dir, "east.jsonc"), parts["east.jsonc"])
	r.expectAccepted(1)
	parts["east.jsonc"] = []byte(`{"servers": [` + entries(1, 3) + `]}`)
	r.write(filepath.Join(r.dir, "east.jsonc"), parts["east.jsonc"])
	r.expectRejected("it is not the part that was meant")
	r.write(filepath.Join(r.dir, "manifest.jsonc"), manifest(2))
	r.expectAccepted(2)
}

func testOtherFilesAndTypes(t *testing.T) {
	r := start(t, pathIn)
	r.replace(r.path, list(1, 1))
	r.expectAccepted(1)
	for i := range 300 {
		r.write(filepath.Join(r.dir, fmt.Sprint("other", i%3)), []byte("noise"))
	}
	r.replace(r.path, list(2, 1))
	r.expectAccepted(2)
	require.NoError(t, os.Remove(r.path))
	require.NoError(t, syscall.Mkfifo(r.path, 0o600))
	r.expectRejected("not a plain file")
	require.NoError(t, os.Remove(r.path))
	require.NoError(t, os.Mkdir(r.path, 0o700))
	r.expectRejected("holds no list")
	require.NoError(t, os.Remove(r.path))
	r.replace(r.path, list(3, 1))
	r.expectAccepted(3)
}

// Broken, partial and valid lists in rapid succession: only complete ones are accepted, each at most once and in order.
func TestAcceptsOnlyCompleteListsInRapidSuccession(t *testing.T) {
	r := start(t, pathIn)
	r.replace(r.path, list(1, 1))
	r.expectAccepted(1)
	for n := 2; n <= 300; n++ {
		text := list(n, 1, n%9+2)
		switch n % 5 {
		case 0:
			r.write(r.path, text[:len(text)/2])
		case 1:
			r.write(r.path, []byte("{"))
		case 2:
			r.write(r.path, []byte(strings.Replace(string(text), "127.0.0.20", "127.0.0.1", 1)))
		case 3:
			r.replace(r.path, text)
		case 4:
			r.write(r.path, text)
		}
		if n%20 == 0 {
			r.waitForReads()
		}
		r.clk.Advance(10)
	}
	r.replace(r.path, list(301, 1))
	accepted := r.acceptedUntil(301)
	for i, g := range accepted[:len(accepted)-1] {
		require.Contains(t, []uint64{3, 4}, g%5, "generation %d was accepted", g)
		require.True(t, i == 0 || g > accepted[i-1])
	}
}

// Load reads a list once. It fails if there is none, or if a name can't be resolved.
func TestLoadFailsWithoutResolvableList(t *testing.T) {
	dir := t.TempDir()
	path := pathIn(dir)
	require.NoError(t, os.WriteFile(path, list(4, 1), 0o600))
	cache := &resolver.Cache{Clock: clock.Manual(0)}
	set, err := filewatch.Load(path, serverlist.Requirements{}, cache, nil)
	require.NoError(t, err)
	require.EqualValues(t, 4, set.Generation)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(list(4, 1)), "127.0.0.1:", "a.example.org:", 1)), 0o600))
	_, err = filewatch.Load(path, serverlist.Requirements{}, cache, nil)
	require.ErrorContains(t, err, "a.example.org is a name, and no names are resolved here")
	_, err = filewatch.Load(filepath.Join(dir, "none"), serverlist.Requirements{}, cache, nil)
	require.Error(t, err)
}

// table resolves names, and can be changed while a list is in use.
type table struct {
	mu    sync.Mutex
	hosts map[string]string
	hang  chan struct{}
}

func (n *table) LookupNetIP(_ context.Context, _, host string) ([]netip.Addr, error) {
	n.mu.Lock()
	ip, hang := n.hosts[host], n.hang
	n.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if ip == "" {
		return nil, errors.New("no such host")
	}
	return []netip.Addr{netip.MustParseAddr(ip)}, nil
}

func (n *table) set(host, ip string, hang chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[host], n.hang = ip, hang
}

// A name whose address changes is followed. One that changes to an address which is listed already, or that can't be resolved any
// more, leaves the last valid list in use. A resolver that hangs does not delay a newer list without names.
func TestFollowsChangingNames(t *testing.T) {
	n := &table{hosts: map[string]string{"a.example.org": "127.0.0.3"}}
	r := startWithResolver(t, pathIn, n)
	named := func(generation int) []byte {
		return []byte(strings.Replace(string(list(generation, 1, 2)), "127.0.0.2:", "a.example.org:", 1))
	}
	r.replace(r.path, named(1))
	r.expectAccepted(1)
	n.set("a.example.org", "127.0.0.4", nil)
	r.expectAccepted(1) // the same list with another address
	n.set("a.example.org", "127.0.0.1", nil)
	r.expectRejected("a.example.org is 127.0.0.1:4100, the address of s-00000001")
	n.set("a.example.org", "", nil)
	r.waitForReads()
	n.set("a.example.org", "127.0.0.5", nil)
	r.expectAccepted(1)
	hang := make(chan struct{})
	n.set("a.example.org", "127.0.0.6", hang)
	r.replace(r.path, bytes.ReplaceAll(named(2), []byte("a.example"), []byte("b.example")))
	r.expectRejected("b.example.org can't be resolved: no answer in 1000 ms")
	r.replace(r.path, list(3, 1, 2))
	r.expectAccepted(3)
	close(hang)
}
