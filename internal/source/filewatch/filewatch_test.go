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

// harness is a watcher with a clock that advances while the test waits.
type harness struct {
	t       *testing.T
	dir     string
	path    string
	clk     *clock.Clock
	watcher *filewatch.Watcher

	mu       sync.Mutex
	accepted []uint64 // generations
}

func start(t *testing.T, path func(dir string) string) *harness {
	return startWithResolver(t, path, nil)
}

// startWithResolver starts a watcher of the path in a temporary directory, with a backend for host names (nil: none).
func startWithResolver(t *testing.T, path func(dir string) string, backend resolver.Backend) *harness {
	h := &harness{t: t, dir: t.TempDir(), clk: clock.Manual(0)}
	h.path = path(h.dir)
	h.watcher = filewatch.New(filewatch.Options{
		Path: h.path, Requirements: serverlist.Requirements{OriginKind: "origin", OriginRequired: true}, Clock: h.clk,
		Debounce: debounce.Settings{QuietPeriod: 100, MaxDelay: 1000, PollInterval: 2000},
		Resolver: &resolver.Cache{Backend: backend, Clock: h.clk, Timeout: 1000, TTL: 3000},
		OnList: func(s *serverlist.List) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.accepted = append(h.accepted, s.Generation)
		},
	}, nil)
	go h.watcher.Run()
	t.Cleanup(h.watcher.Close)
	return h
}

// advanceUntil advances the clock until ok returns true, for at most a minute of real time.
func (h *harness) advanceUntil(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); {
		require.True(h.t, time.Now().Before(end), "not within a minute: %s: %+v", what, h.watcher.Status())
		h.clk.Advance(20)
		time.Sleep(time.Millisecond)
	}
}

// expectAccepted waits for the last of these generations and checks that exactly these were accepted, in order.
func (h *harness) expectAccepted(generations ...uint64) {
	h.t.Helper()
	require.Equal(h.t, generations, h.acceptedUntil(generations[len(generations)-1]))
}

// acceptedUntil waits for a generation and returns the generations accepted since the last call, up to and including it.
func (h *harness) acceptedUntil(last uint64) (accepted []uint64) {
	h.t.Helper()
	h.advanceUntil(fmt.Sprint("generation ", last), func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		accepted = h.accepted
		return len(accepted) > 0 && accepted[len(accepted)-1] == last
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepted = nil
	return accepted
}

// expectRejected waits until the list is rejected for a reason, and checks that the one in use stays in use.
func (h *harness) expectRejected(reason string) {
	h.t.Helper()
	generation := h.watcher.Status().Generation
	h.advanceUntil("rejected: "+reason, func() bool { return strings.Contains(strings.Join(h.watcher.Status().Reasons, "\n"), reason) })
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Empty(h.t, h.accepted)
	require.Equal(h.t, generation, h.watcher.Status().Generation)
}

// waitForReads waits for three more reads.
func (h *harness) waitForReads() {
	h.t.Helper()
	before := h.watcher.Status().Reads
	h.advanceUntil("reads", func() bool { return h.watcher.Status().Reads >= before+3 })
}

// list returns a list file of servers at 127.0.0.N for the numbers in hosts, and of the origin, which has the number 20.
func list(generation int, hosts ...int) []byte {
	return fmt.Appendf(nil, "{\"generation\": %d, \"servers\": [%s],\n\"end\": %[1]d}", generation, entries(append(hosts, 20)...))
}

// entries returns the entries of servers at 127.0.0.N, of which 20 is the origin.
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

func (h *harness) write(path string, data []byte) {
	require.NoError(h.t, os.WriteFile(path, data, 0o600))
}

// replace writes a file and renames it over the old one.
func (h *harness) replace(path string, data []byte) {
	h.write(path+".tmp", data)
	require.NoError(h.t, os.Rename(path+".tmp", path))
}

// pathIn returns the path of a list file in a directory.
func pathIn(dir string) string { return filepath.Join(dir, "servers.jsonc") }

// In whatever way lists are written, only complete ones are accepted, each of them once.
func TestAcceptsCompleteListsOfAnyWriter(t *testing.T) {
	t.Run("renamed over, and saved again unchanged", testRenamedOver)
	t.Run("truncated, then written byte by byte", testWrittenInSteps)
	t.Run("written in place over a longer one", testWrittenInPlace)
	t.Run("a link that is switched, as in a projected volume", testSwitchedLink)
	t.Run("the directory is removed and created again", testRemovedDirectory)
	t.Run("a directory filled part by part", testDirectoryOfParts)
	t.Run("many changes of other files, a pipe and a directory in its place", testOtherFilesAndTypes)
}

func testRenamedOver(t *testing.T) {
	h := start(t, pathIn)
	h.expectRejected("no such file")
	h.replace(h.path, list(1, 1))
	h.expectAccepted(1)
	h.replace(h.path, list(2, 1, 2))
	h.expectAccepted(2)
	h.replace(h.path, list(2, 1, 2))
	h.waitForReads()
	require.EqualValues(t, 2, h.watcher.Status().Accepted)
}

func testWrittenInSteps(t *testing.T) {
	h := start(t, pathIn)
	h.replace(h.path, list(1, 1))
	h.expectAccepted(1)
	text := list(2, 1, 2)
	f, err := os.Create(h.path)
	require.NoError(t, err)
	for i := range text {
		_, err := f.Write(text[i : i+1])
		require.NoError(t, err)
		if i%50 == 0 { // the writer stalls until the partial file is rejected
			h.expectRejected("servers.jsonc")
		}
	}
	require.NoError(t, f.Close())
	h.expectAccepted(2)
}

func testWrittenInPlace(t *testing.T) {
	h := start(t, pathIn)
	h.replace(h.path, list(1, 1, 2, 3))
	h.expectAccepted(1)
	f, err := os.OpenFile(h.path, os.O_WRONLY, 0)
	require.NoError(t, err)
	text := list(2, 1)
	_, err = f.Write(text)
	require.NoError(t, err)
	h.expectRejected("servers.jsonc") // the rest of the old list follows the new one
	require.NoError(t, f.Truncate(int64(len(text))))
	require.NoError(t, f.Close())
	h.expectAccepted(2)
}

func testSwitchedLink(t *testing.T) {
	h := start(t, pathIn)
	volume := func(n int, data []byte) {
		dir := fmt.Sprintf("..%d", n)
		require.NoError(t, os.Mkdir(filepath.Join(h.dir, dir), 0o700))
		h.write(filepath.Join(h.dir, dir, "servers.jsonc"), data)
		require.NoError(t, os.Symlink(dir, filepath.Join(h.dir, "..tmp")))
		require.NoError(t, os.Rename(filepath.Join(h.dir, "..tmp"), filepath.Join(h.dir, "..data")))
	}
	require.NoError(t, os.Symlink(filepath.Join("..data", "servers.jsonc"), h.path))
	volume(1, list(1, 1))
	h.expectAccepted(1)
	volume(2, list(2, 1, 2))
	h.expectAccepted(2)
	volume(3, []byte("{"))
	h.expectRejected("ends too early")
	volume(4, list(4, 1, 2))
	h.expectAccepted(4)
}

func testRemovedDirectory(t *testing.T) {
	h := start(t, func(dir string) string { return filepath.Join(dir, "a", "b", "servers.jsonc") })
	for n := 1; n <= 3; n++ {
		require.NoError(t, os.MkdirAll(filepath.Dir(h.path), 0o700))
		h.write(h.path, list(n, 1, n+1))
		h.expectAccepted(uint64(n))
		require.NoError(t, os.RemoveAll(filepath.Join(h.dir, "a")))
		h.expectRejected("no such file")
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(h.path), 0o700))
	h.write(h.path, list(3, 1, 4))
	h.advanceUntil("no longer rejected", func() bool { return len(h.watcher.Status().Reasons) == 0 })
	require.EqualValues(t, 3, h.watcher.Status().Accepted, "the restored list is the one in use, and is not accepted again")
}

func testDirectoryOfParts(t *testing.T) {
	h := start(t, func(dir string) string { return dir })
	parts := map[string][]byte{
		"hub.jsonc":  []byte(`{"servers": [` + entries(20) + `]}`),
		"east.jsonc": []byte(`{"servers": [` + entries(1, 2) + `]}`),
	}
	manifest := func(n int) []byte {
		return fmt.Appendf(nil, `{"generation": %d, "parts": [{"file": "hub.jsonc", "sha256": "%x"}, {"file": "east.jsonc", "sha256": "%x"}], "end": %[1]d}`,
			n, sha256.Sum256(parts["hub.jsonc"]), sha256.Sum256(parts["east.jsonc"]))
	}
	h.expectRejected("has no file that ends in .jsonc or .json")
	h.write(filepath.Join(h.dir, "manifest.jsonc"), manifest(1))
	h.expectRejected("part hub.jsonc is missing")
	h.write(filepath.Join(h.dir, "hub.jsonc"), parts["hub.jsonc"])
	h.expectRejected("part east.jsonc is missing")
	h.write(filepath.Join(h.dir, "east.jsonc"), parts["east.jsonc"])
	h.expectAccepted(1)
	parts["east.jsonc"] = []byte(`{"servers": [` + entries(1, 3) + `]}`)
	h.write(filepath.Join(h.dir, "east.jsonc"), parts["east.jsonc"])
	h.expectRejected("part east.jsonc does not match this hash")
	h.write(filepath.Join(h.dir, "manifest.jsonc"), manifest(2))
	h.expectAccepted(2)
}

func testOtherFilesAndTypes(t *testing.T) {
	h := start(t, pathIn)
	h.replace(h.path, list(1, 1))
	h.expectAccepted(1)
	for i := range 300 {
		h.write(filepath.Join(h.dir, fmt.Sprint("other", i%3)), []byte("noise"))
	}
	h.replace(h.path, list(2, 1))
	h.expectAccepted(2)
	require.NoError(t, os.Remove(h.path))
	require.NoError(t, syscall.Mkfifo(h.path, 0o600))
	h.expectRejected("not a regular file")
	require.NoError(t, os.Remove(h.path))
	require.NoError(t, os.Mkdir(h.path, 0o700))
	h.expectRejected("has no file that ends in .jsonc or .json")
	require.NoError(t, os.Remove(h.path))
	h.replace(h.path, list(3, 1))
	h.expectAccepted(3)
}

// Of broken, partial and valid lists in rapid succession, only complete ones are accepted, each at most once and in order.
func TestAcceptsOnlyCompleteListsInRapidSuccession(t *testing.T) {
	h := start(t, pathIn)
	h.replace(h.path, list(1, 1))
	h.expectAccepted(1)
	for n := 2; n <= 300; n++ {
		text := list(n, 1, n%9+2)
		switch n % 5 {
		case 0:
			h.write(h.path, text[:len(text)/2])
		case 1:
			h.write(h.path, []byte("{"))
		case 2:
			h.write(h.path, []byte(strings.Replace(string(text), "127.0.0.20", "127.0.0.1", 1)))
		case 3:
			h.replace(h.path, text)
		case 4:
			h.write(h.path, text)
		}
		if n%20 == 0 {
			h.waitForReads()
		}
		h.clk.Advance(10)
	}
	h.replace(h.path, list(301, 1))
	accepted := h.acceptedUntil(301)
	for i, g := range accepted[:len(accepted)-1] {
		require.Contains(t, []uint64{3, 4}, g%5, "generation %d was accepted", g)
		require.True(t, i == 0 || g > accepted[i-1])
	}
}

// Load reads a list once. It fails if there is no list, or if a name can't be resolved.
func TestLoadFailsWithoutResolvableList(t *testing.T) {
	dir := t.TempDir()
	path := pathIn(dir)
	require.NoError(t, os.WriteFile(path, list(4, 1), 0o600))
	cache := &resolver.Cache{Clock: clock.Manual(0)}
	loaded, err := filewatch.Load(path, serverlist.Requirements{}, cache, nil)
	require.NoError(t, err)
	require.EqualValues(t, 4, loaded.Generation)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(list(4, 1)), "127.0.0.1:", "a.example.org:", 1)), 0o600))
	_, err = filewatch.Load(path, serverlist.Requirements{}, cache, nil)
	require.ErrorContains(t, err, "a.example.org is a host name, but only IP addresses are allowed here")
	_, err = filewatch.Load(filepath.Join(dir, "none"), serverlist.Requirements{}, cache, nil)
	require.Error(t, err)
}

// fakeBackend resolves names. Its answers can be changed while a list is in use.
type fakeBackend struct {
	mu    sync.Mutex
	hosts map[string]string
	hang  chan struct{} // look-ups wait until it is closed; nil: they do not wait
}

func (b *fakeBackend) LookupNetIP(_ context.Context, _, host string) ([]netip.Addr, error) {
	b.mu.Lock()
	ip, hang := b.hosts[host], b.hang
	b.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if ip == "" {
		return nil, errors.New("no such host")
	}
	return []netip.Addr{netip.MustParseAddr(ip)}, nil
}

func (b *fakeBackend) set(host, ip string, hang chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[host], b.hang = ip, hang
}

// If the address of a name changes, the list is used with the new address. If it changes to an address that is listed already, or
// the name can't be resolved any more, the last valid list stays in use. A resolver that does not answer does not delay a newer
// list without names.
func TestFollowsChangingNames(t *testing.T) {
	backend := &fakeBackend{hosts: map[string]string{"a.example.org": "127.0.0.3"}}
	h := startWithResolver(t, pathIn, backend)
	named := func(generation int) []byte {
		return []byte(strings.Replace(string(list(generation, 1, 2)), "127.0.0.2:", "a.example.org:", 1))
	}
	h.replace(h.path, named(1))
	h.expectAccepted(1)
	backend.set("a.example.org", "127.0.0.4", nil)
	h.expectAccepted(1) // the same list with another address
	backend.set("a.example.org", "127.0.0.1", nil)
	h.expectRejected("a.example.org resolves to 127.0.0.1:4100, which is also the address of s-00000001")
	backend.set("a.example.org", "", nil)
	h.waitForReads()
	backend.set("a.example.org", "127.0.0.5", nil)
	h.expectAccepted(1)
	hang := make(chan struct{})
	backend.set("a.example.org", "127.0.0.6", hang)
	h.replace(h.path, bytes.ReplaceAll(named(2), []byte("a.example"), []byte("b.example")))
	h.expectRejected("b.example.org can't be resolved: no answer in 1000 ms")
	h.replace(h.path, list(3, 1, 2))
	h.expectAccepted(3)
	close(hang)
}
