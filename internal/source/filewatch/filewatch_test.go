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

// rig is a source under a clock that runs on while something is waited for.
type rig struct {
	t    *testing.T
	dir  string
	path string
	clk  *clock.Clock
	src  *filewatch.Watcher

	mu    sync.Mutex
	taken []uint64
}

func start(t *testing.T, path func(dir string) string) *rig { return startWith(t, path, nil) }

func startWith(t *testing.T, path func(dir string) string, n resolver.Backend) *rig {
	r := &rig{t: t, dir: t.TempDir(), clk: clock.Manual(0)}
	r.path = path(r.dir)
	r.src = filewatch.New(filewatch.Options{
		Path: r.path, Requirements: serverlist.Requirements{OriginKind: "origin", Writes: true}, Clock: r.clk,
		Debounce: debounce.Settings{Quiet: 100, MaxDelay: 1000, PollInterval: 2000}, Resolver: &resolver.Cache{Backend: n, Clock: r.clk, Timeout: 1000, TTL: 3000},
		OnList: func(s *serverlist.List) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.taken = append(r.taken, s.Generation)
		},
	}, nil)
	go r.src.Run()
	t.Cleanup(r.src.Close)
	return r
}

// until lets time run on until ok.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); {
		require.True(r.t, time.Now().Before(end), "never: %s: %+v", what, r.src.Status())
		r.clk.Advance(20)
		time.Sleep(time.Millisecond)
	}
}

// took waits for a generation and checks that no other was taken on the way.
func (r *rig) took(generations ...uint64) {
	r.t.Helper()
	require.Equal(r.t, generations, r.all(generations[len(generations)-1]))
}

// all waits for a generation and returns those taken up to it, since the last call.
func (r *rig) all(last uint64) (taken []uint64) {
	r.t.Helper()
	r.until(fmt.Sprint("generation ", last), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		taken = r.taken
		return len(taken) > 0 && taken[len(taken)-1] == last
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = nil
	return taken
}

// refuses waits for what the list at the path is refused for, and checks that the one in use stays.
func (r *rig) refuses(why string) {
	r.t.Helper()
	in := r.src.Status().Generation
	r.until("refused: "+why, func() bool { return strings.Contains(strings.Join(r.src.Status().Reasons, "\n"), why) })
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(r.t, r.taken)
	require.Equal(r.t, in, r.src.Status().Generation)
}

// looked lets the source look a few times more.
func (r *rig) looked() {
	r.t.Helper()
	n := r.src.Status().Reads
	r.until("looks", func() bool { return r.src.Status().Reads >= n+3 })
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

func (r *rig) write(path string, data []byte) {
	require.NoError(r.t, os.WriteFile(path, data, 0o600))
}

// over puts a file in place as a careful writer does.
func (r *rig) over(path string, data []byte) {
	r.write(path+".tmp", data)
	require.NoError(r.t, os.Rename(path+".tmp", path))
}

func inDir(dir string) string { return filepath.Join(dir, "servers.jsonc") }

func TestWriters(t *testing.T) {
	t.Run("renamed over, and saved again as it was", func(t *testing.T) {
		r := start(t, inDir)
		r.refuses("no such file")
		r.over(r.path, list(1, 1))
		r.took(1)
		r.over(r.path, list(2, 1, 2))
		r.took(2)
		r.over(r.path, list(2, 1, 2))
		r.looked()
		require.EqualValues(t, 2, r.src.Status().Accepted)
	})
	t.Run("truncated, then written in steps of one byte", func(t *testing.T) {
		r := start(t, inDir)
		r.over(r.path, list(1, 1))
		r.took(1)
		text := list(2, 1, 2)
		f, err := os.Create(r.path)
		require.NoError(t, err)
		for i := range text {
			_, err := f.Write(text[i : i+1])
			require.NoError(t, err)
			if i%50 == 0 { // the writer stalls until what stands there is refused
				r.refuses("servers.jsonc")
			}
		}
		require.NoError(t, f.Close())
		r.took(2)
	})
	t.Run("written in place over a longer one", func(t *testing.T) {
		r := start(t, inDir)
		r.over(r.path, list(1, 1, 2, 3))
		r.took(1)
		f, err := os.OpenFile(r.path, os.O_WRONLY, 0)
		require.NoError(t, err)
		text := list(2, 1)
		_, err = f.Write(text)
		require.NoError(t, err)
		r.refuses("servers.jsonc") // what is left of the old one stands behind it
		require.NoError(t, f.Truncate(int64(len(text))))
		require.NoError(t, f.Close())
		r.took(2)
	})
	t.Run("a link that is switched, in the way of a projected volume", func(t *testing.T) {
		r := start(t, inDir)
		volume := func(n int, data []byte) {
			dir := fmt.Sprintf("..%d", n)
			require.NoError(t, os.Mkdir(filepath.Join(r.dir, dir), 0o700))
			r.write(filepath.Join(r.dir, dir, "servers.jsonc"), data)
			require.NoError(t, os.Symlink(dir, filepath.Join(r.dir, "..tmp")))
			require.NoError(t, os.Rename(filepath.Join(r.dir, "..tmp"), filepath.Join(r.dir, "..data")))
		}
		require.NoError(t, os.Symlink(filepath.Join("..data", "servers.jsonc"), r.path))
		volume(1, list(1, 1))
		r.took(1)
		volume(2, list(2, 1, 2))
		r.took(2)
		volume(3, []byte("{"))
		r.refuses("ends too early")
		volume(4, list(4, 1, 2))
		r.took(4)
	})
	t.Run("the directory is removed and made anew", func(t *testing.T) {
		r := start(t, func(dir string) string { return filepath.Join(dir, "a", "b", "servers.jsonc") })
		for n := 1; n <= 3; n++ {
			require.NoError(t, os.MkdirAll(filepath.Dir(r.path), 0o700))
			r.write(r.path, list(n, 1, n+1))
			r.took(uint64(n))
			require.NoError(t, os.RemoveAll(filepath.Join(r.dir, "a")))
			r.refuses("no such file")
		}
		require.NoError(t, os.MkdirAll(filepath.Dir(r.path), 0o700))
		r.write(r.path, list(3, 1, 4))
		r.until("no longer refused", func() bool { return len(r.src.Status().Reasons) == 0 })
		require.EqualValues(t, 3, r.src.Status().Accepted, "the list that came back is the one in use")
	})
	t.Run("a directory filled part by part", func(t *testing.T) {
		r := start(t, func(dir string) string { return dir })
		parts := map[string][]byte{
			"hub.jsonc":  []byte(`{"servers": [` + entries(20) + `]}`),
			"east.jsonc": []byte(`{"servers": [` + entries(1, 2) + `]}`),
		}
		manifest := func(n int) []byte {
			return fmt.Appendf(nil, `{"generation": %d, "parts": [{"file": "hub.jsonc", "sha256": "%x"}, {"file": "east.jsonc", "sha256": "%x"}], "end": %[1]d}`,
				n, sha256.Sum256(parts["hub.jsonc"]), sha256.Sum256(parts["east.jsonc"]))
		}
		r.refuses("holds no list")
		r.write(filepath.Join(r.dir, "manifest.jsonc"), manifest(1))
		r.refuses("hub.jsonc is not there")
		r.write(filepath.Join(r.dir, "hub.jsonc"), parts["hub.jsonc"])
		r.refuses("east.jsonc is not there")
		r.write(filepath.Join(r.dir, "east.jsonc"), parts["east.jsonc"])
		r.took(1)
		parts["east.jsonc"] = []byte(`{"servers": [` + entries(1, 3) + `]}`)
		r.write(filepath.Join(r.dir, "east.jsonc"), parts["east.jsonc"])
		r.refuses("it is not the part that was meant")
		r.write(filepath.Join(r.dir, "manifest.jsonc"), manifest(2))
		r.took(2)
	})
	t.Run("a storm beside it, a pipe and a directory in its place", func(t *testing.T) {
		r := start(t, inDir)
		r.over(r.path, list(1, 1))
		r.took(1)
		for i := range 300 {
			r.write(filepath.Join(r.dir, fmt.Sprint("other", i%3)), []byte("noise"))
		}
		r.over(r.path, list(2, 1))
		r.took(2)
		require.NoError(t, os.Remove(r.path))
		require.NoError(t, syscall.Mkfifo(r.path, 0o600))
		r.refuses("not a plain file")
		require.NoError(t, os.Remove(r.path))
		require.NoError(t, os.Mkdir(r.path, 0o700))
		r.refuses("holds no list")
		require.NoError(t, os.Remove(r.path))
		r.over(r.path, list(3, 1))
		r.took(3)
	})
}

// Broken, partial and valid lists in rapid turns: only whole ones are ever taken, each at most once and in order.
func TestRapidTurns(t *testing.T) {
	r := start(t, inDir)
	r.over(r.path, list(1, 1))
	r.took(1)
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
			r.over(r.path, text)
		case 4:
			r.write(r.path, text)
		}
		if n%20 == 0 {
			r.looked()
		}
		r.clk.Advance(10)
	}
	r.over(r.path, list(301, 1))
	taken := r.all(301)
	for i, g := range taken[:len(taken)-1] {
		require.Contains(t, []uint64{3, 4}, g%5, "generation %d was taken", g)
		require.True(t, i == 0 || g > taken[i-1])
	}
}

// A list whose names are answered anew, to an address that another server has, leaves what was good in force.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := inDir(dir)
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

// table answers for names, and can be changed while a list is in use.
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

// A name that moves is followed; one that moves to an address which is listed already, or can't be answered any more,
// leaves the last good list in force, and a resolver that hangs holds up no newer list without names.
func TestNames(t *testing.T) {
	n := &table{hosts: map[string]string{"a.example.org": "127.0.0.3"}}
	r := startWith(t, inDir, n)
	named := func(generation int) []byte {
		return []byte(strings.Replace(string(list(generation, 1, 2)), "127.0.0.2:", "a.example.org:", 1))
	}
	r.over(r.path, named(1))
	r.took(1)
	n.set("a.example.org", "127.0.0.4", nil)
	r.took(1) // the same list, at another address
	n.set("a.example.org", "127.0.0.1", nil)
	r.refuses("a.example.org is 127.0.0.1:4100, the address of s-00000001")
	n.set("a.example.org", "", nil)
	r.looked()
	n.set("a.example.org", "127.0.0.5", nil)
	r.took(1)
	hang := make(chan struct{})
	n.set("a.example.org", "127.0.0.6", hang)
	r.over(r.path, bytes.ReplaceAll(named(2), []byte("a.example"), []byte("b.example")))
	r.refuses("b.example.org can't be resolved: no answer in 1000 ms")
	r.over(r.path, list(3, 1, 2))
	r.took(3)
	close(hang)
}
