// Package filewatch follows a server list on disk: one file, or a directory of parts bound by a manifest. It looks when
// the file system tells of a touch (fsnotify) and, as such news can be missed, in a slow poll; when what was read
// counts is said by decide/debounce, and whether it can be used by decide/serverlist. What can't be used leaves the
// list before it in force.
package filewatch

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/strictjson"
)

// Options set up a watch.
type Options struct {
	Path         string
	Requirements serverlist.Requirements
	Debounce     debounce.Settings
	Resolver     *resolver.Cache
	Clock        *clock.Clock
	Log          *logs.Log
	// OnList gets each new set, in order, from one goroutine.
	OnList func(*serverlist.List)
}

// Status is how the watched list stands.
type Status struct {
	Path       string             `json:"path"`
	Generation uint64             `json:"generation"`         // in use; 0: none
	AcceptedMs float64            `json:"taken_ms,omitempty"` // Unix ms
	Defects    strictjson.Defects `json:"-"`                  // why what is there now is not in use
	Reasons    []string           `json:"refused,omitempty"`
	RejectedMs float64            `json:"refused_ms,omitempty"`
	Reads      int64              `json:"looks"`
	Accepted   int64              `json:"taken"`
	Rejected   int64              `json:"refusals"`
}

// Watcher is one watched list.
type Watcher struct {
	opt    Options
	events chan func() // what the loop does next
	stop   chan struct{}
	once   sync.Once

	// Of the loop alone.
	watch   *debounce.Debouncer
	fs      *fsnotify.Watcher
	dirs    map[string]bool
	looking bool
	files   []serverlist.File // of the last look
	draft   *serverlist.Draft // taken last, and sound in itself
	asking  int               // number of the question to the resolver that is out, or was last
	unset   func()            // of the timer
	renew   func()            // of the names' timer
	last    string            // how a look failed last

	mu     sync.Mutex
	set    *serverlist.List
	status Status
}

// Bounds of a look.
const (
	mostFiles = 1024
	mostRead  = 2 * strictjson.MostBytes
)

// Load reads, resolves and checks a list once, as it is now, against the one taken before (nil: none).
func Load(path string, facts serverlist.Requirements, cache *resolver.Cache, old *serverlist.List) (*serverlist.List, error) {
	files, err := ReadFiles(path)
	if err != nil {
		return nil, err
	}
	d, bad := serverlist.Parse(files, facts)
	if bad != nil {
		return nil, bad
	}
	set, bad := d.Resolve(cache.Resolve(d.Hosts()), old)
	return set, bad.Err()
}

// New returns a source whose set (nil: none) is in use already.
func New(o Options, set *serverlist.List) *Watcher {
	s := &Watcher{opt: o, events: make(chan func(), 64), stop: make(chan struct{}), dirs: map[string]bool{}, set: set}
	s.status.Path = o.Path
	if set != nil {
		s.status.Generation, s.status.AcceptedMs = set.Generation, o.Clock.Now()
	}
	return s
}

// Close ends the watch.
func (s *Watcher) Close() { s.once.Do(func() { close(s.stop) }) }

// Status tells how the list stands.
func (s *Watcher) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.status
	for _, d := range st.Defects {
		st.Reasons = append(st.Reasons, d.Error())
	}
	return st
}

// Run follows the list until Close.
func (s *Watcher) Run() {
	var touched <-chan fsnotify.Event
	var broken <-chan error
	var err error
	if s.fs, err = fsnotify.NewWatcher(); err != nil {
		// Descriptors or watches may be used up: the poll goes on.
		s.opt.Log.Warn("watch").Err(err).Msg("no news from the file system: the list is polled")
	} else {
		touched, broken = s.fs.Events, s.fs.Errors
		defer s.fs.Close()
	}
	s.watch = debounce.New(s.opt.Debounce, s.opt.Clock.Now())
	s.follow()
	s.act(s.watch.Tick(s.opt.Clock.Now()))
	for {
		select {
		case <-s.stop:
			s.clear()
			return
		case f := <-s.events:
			f()
		case e := <-touched:
			if s.concerns(e) {
				s.act(s.watch.Changed(s.opt.Clock.Now()))
			}
		case err := <-broken:
			// The queue of news ran over: what it held is not known, so look.
			s.opt.Log.Warn("watch").Err(err).Msg("news from the file system lost")
			s.act(s.watch.Changed(s.opt.Clock.Now()))
		}
	}
}

func (s *Watcher) clear() {
	if s.unset != nil {
		s.unset()
	}
	if s.renew != nil {
		s.renew()
	}
}

// later has f done by the loop, unless the watch has ended.
func (s *Watcher) later(f func()) {
	select {
	case s.events <- f:
	case <-s.stop:
	}
}

// concerns: in a directory that holds much else, most events are of other files.
func (s *Watcher) concerns(e fsnotify.Event) bool {
	if e.Op == fsnotify.Chmod {
		return false
	}
	dir := filepath.Dir(e.Name)
	// Links within the directory may be on the way to the list: anything there counts that is no common file.
	return s.dirs[dir] || s.dirs[e.Name]
}

// act carries out what the decider wants.
func (s *Watcher) act(a debounce.Action) {
	if a.Accept {
		s.take()
	}
	if a.Read && !s.looking {
		s.look()
	}
	if s.unset != nil {
		s.unset()
	}
	wait := a.WakeAt - s.opt.Clock.Now()
	s.unset = s.opt.Clock.After(wait, func() {
		go s.later(func() { s.act(s.watch.Tick(s.opt.Clock.Now())) })
	})
}

// look reads the list away from the loop: a file system that hangs must not hold up the drains of the list in use.
func (s *Watcher) look() {
	s.looking = true
	s.follow()
	began := s.opt.Clock.Now()
	go func() {
		files, err := ReadFiles(s.opt.Path)
		s.later(func() {
			s.looking = false
			s.mu.Lock()
			s.status.Reads++
			s.mu.Unlock()
			switch {
			case err != nil:
				s.fail(err)
			case s.last != "":
				// It is there again: what was refused or in use before is looked at anew.
				s.last = ""
				s.watch.Invalidate(s.opt.Clock.Now())
				fallthrough
			default:
				s.files = files
			}
			s.act(s.watch.ReadDone(began, s.opt.Clock.Now(), fingerprint(files), err == nil))
		})
	}()
}

// fail notes a look that read nothing, once for each reason.
func (s *Watcher) fail(err error) {
	if s.last == err.Error() || errors.Is(err, errChanged) {
		return
	}
	s.last = err.Error()
	s.refuse(strictjson.Defects{{File: s.opt.Path, Reason: reason(err)}})
}

// reason is an error without the path that stands before it in the line anyway.
func reason(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

func fingerprint(files []serverlist.File) uint64 {
	h := xxhash.New()
	for _, f := range files {
		_, _ = fmt.Fprintf(h, "%s\x00%d\x00", f.Name, len(f.Data))
		_, _ = h.Write(f.Data)
	}
	return h.Sum64()
}

// take checks what was read last, and uses it if it can be used.
func (s *Watcher) take() {
	d, bad := serverlist.Parse(s.files, s.opt.Requirements)
	s.files = nil
	if bad != nil {
		// The draft before it stays: its names are still to be answered anew.
		s.refuse(bad)
		return
	}
	s.draft = d
	s.settle()
}

// settle asks for the names of the draft, and holds it against the set in use.
func (s *Watcher) settle() {
	s.asking++
	asked, d := s.asking, s.draft
	go func() {
		hosts := d.Hosts()
		answers := s.opt.Resolver.Resolve(hosts)
		s.later(func() {
			if asked != s.asking {
				return // a newer list has come meanwhile
			}
			s.opt.Resolver.Retain(hosts)
			s.use(d, answers)
			if s.renew != nil {
				s.renew()
			}
			if resolver.HasNames(hosts) {
				s.renew = s.opt.Clock.After(s.opt.Resolver.TTL, func() {
					go s.later(func() {
						if asked == s.asking {
							s.settle()
						}
					})
				})
			}
		})
	}()
}

func (s *Watcher) use(d *serverlist.Draft, answers map[string]serverlist.Resolution) {
	s.mu.Lock()
	old := s.set
	s.mu.Unlock()
	set, bad := d.Resolve(answers, old)
	if bad != nil {
		s.refuse(bad)
		return
	}
	s.mu.Lock()
	s.status.Defects, s.status.RejectedMs = nil, 0
	if set != old {
		s.set = set
		s.status.Generation, s.status.AcceptedMs = set.Generation, s.opt.Clock.Now()
		s.status.Accepted++
	}
	s.mu.Unlock()
	if set == old {
		return
	}
	changes := serverlist.Diff(old, set)
	counts := map[string]int{}
	for _, c := range changes {
		counts[string(c.Kind)]++
	}
	s.opt.Log.Info("list").Uint64("generation", set.Generation).Int("servers", len(set.Servers)).
		Interface("changes", counts).Msg("server list taken")
	s.opt.OnList(set)
}

func (s *Watcher) refuse(bad strictjson.Defects) {
	s.mu.Lock()
	same := s.status.Defects.Error() == bad.Error()
	s.status.Defects, s.status.RejectedMs = bad, s.opt.Clock.Now()
	s.status.Rejected++
	in := s.status.Generation
	s.mu.Unlock()
	if same {
		return
	}
	s.opt.Log.Error("list").Str("reason", bad[0].Error()).Int("defects", len(bad)).Uint64("in_use", in).
		Msg("server list refused: the one in use stays")
}

// follow watches the directories through which the path leads: a file that is renamed over, a link that is switched
// and a directory that is made anew are all news of the directory around them, and not of the file.
func (s *Watcher) follow() {
	if s.fs == nil {
		return
	}
	want := map[string]bool{}
	path := s.opt.Path
	for range 16 { // as many links as a path may lead through here
		path, _ = filepath.Abs(path)
		want[filepath.Dir(path)] = true
		info, err := os.Lstat(path)
		if err != nil {
			break
		}
		if info.IsDir() {
			want[path] = true
		}
		to, err := os.Readlink(path)
		if err != nil {
			break
		}
		if !filepath.IsAbs(to) {
			to = filepath.Join(filepath.Dir(path), to)
		}
		path = to
	}
	if real, err := filepath.EvalSymlinks(s.opt.Path); err == nil {
		want[filepath.Dir(real)] = true
	}
	// The nearest directory that is there, so that the news of its children being made anew comes.
	for dir := range want {
		for {
			if _, err := os.Stat(dir); err == nil || dir == filepath.Dir(dir) {
				break
			}
			dir = filepath.Dir(dir)
			want[dir] = true
		}
	}
	listed := s.fs.WatchList()
	for dir := range want {
		if !slices.Contains(listed, dir) {
			if err := s.fs.Add(dir); err != nil && !errors.Is(err, fs.ErrNotExist) {
				s.opt.Log.Warn("watch").Err(err).Str("dir", dir).Msg("a directory can't be watched: the list is polled")
			}
		}
	}
	for _, dir := range listed {
		if !want[dir] {
			_ = s.fs.Remove(dir)
		}
	}
	s.dirs = want
}

// ReadFiles reads a list as it is now: one file, or a directory's files ending in .jsonc or .json. What changes while it
// is read is an error, and so is whatever is no plain file.
func ReadFiles(path string) ([]serverlist.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		f, err := readFile(path, mostRead)
		if err != nil {
			return nil, err
		}
		return []serverlist.File{f}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var files []serverlist.File
	left := int64(mostRead)
	for _, e := range entries {
		name := e.Name()
		if strings.HasPrefix(name, ".") || !strings.HasSuffix(name, ".jsonc") && !strings.HasSuffix(name, ".json") {
			continue
		}
		if len(files) >= mostFiles {
			return nil, fmt.Errorf("%s holds more than %d lists", path, mostFiles)
		}
		f, err := readFile(filepath.Join(path, name), left)
		if err != nil {
			return nil, err
		}
		left -= int64(len(f.Data))
		files = append(files, f)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s holds no list", path)
	}
	return files, nil
}

var errChanged = errors.New("changed while it was read")

func readFile(path string, most int64) (f serverlist.File, err error) {
	// Guards against a pipe in place of the list, whose open would wait for a writer for good.
	h, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return f, err
	}
	defer h.Close()
	before, err := h.Stat()
	if err != nil {
		return f, err
	}
	if !before.Mode().IsRegular() {
		return f, &fs.PathError{Op: "read", Path: path, Err: errors.New("not a plain file")}
	}
	data, err := io.ReadAll(io.LimitReader(h, most+1))
	if err != nil {
		return f, err
	}
	if int64(len(data)) > most {
		return f, &fs.PathError{Op: "read", Path: path, Err: fmt.Errorf("larger than %d bytes", most)}
	}
	after, err := os.Stat(path)
	if err != nil {
		return f, err
	}
	if !os.SameFile(before, after) || after.Size() != int64(len(data)) || !after.ModTime().Equal(before.ModTime()) {
		return f, &fs.PathError{Op: "read", Path: path, Err: errChanged}
	}
	return serverlist.File{Name: path, Data: data}, nil
}
