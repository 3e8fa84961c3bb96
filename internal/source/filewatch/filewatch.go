// Package filewatch follows a server list on disk: one file, or a directory of parts with a manifest. It reads the list when
// the file system reports a change (fsnotify) and, as such events can be lost, also polls it slowly. decide/debounce decides
// when the content of the files is used, and decide/serverlist whether it is a valid list; this package decides neither. If
// a list can't be used, the one before it stays in use. Different ways of writing a list, broken lists and names whose
// address changes are tested in this package on a real file system.
package filewatch

import (
	"sync"

	"github.com/fsnotify/fsnotify"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/strictjson"
)

// maxQueuedEvents is how many functions may be queued for the loop. A sender of more of them blocks.
const maxQueuedEvents = 64

// Options configure a Watcher.
type Options struct {
	Path         string // of a file or a directory
	Requirements serverlist.Requirements
	Debounce     debounce.Settings
	Resolver     *resolver.Cache
	Clock        *clock.Clock
	Log          *logs.Log
	// OnList is called with each new list, in order, by the goroutine of Run.
	OnList func(*serverlist.List)
}

// Status is the state of the watched list as shown to operators.
type Status struct {
	Path       string             `json:"path"`
	Generation uint64             `json:"generation"`         // of the list in use; 0: none
	AcceptedMs float64            `json:"taken_ms,omitempty"` // Unix ms
	Defects    strictjson.Defects `json:"-"`                  // why the present content of the files is not in use
	Reasons    []string           `json:"refused,omitempty"`  // Defects as texts; set by Watcher.Status
	RejectedMs float64            `json:"refused_ms,omitempty"`
	Reads      int64              `json:"looks"`
	Accepted   int64              `json:"taken"`
	Rejected   int64              `json:"refusals"`
}

// Watcher follows one server list. See New and Run.
type Watcher struct {
	opt    Options
	events chan func() // to be run by the loop
	done   chan struct{}
	once   sync.Once

	// Only used by the goroutine of Run.
	debouncer   *debounce.Debouncer
	notifier    *fsnotify.Watcher // nil: notifications are not available
	dirs        map[string]bool   // the watched directories
	reading     bool              // a read is in progress
	files       []serverlist.File // from the last read, until they are parsed
	draft       *serverlist.Draft // the last valid draft
	resolution  int               // number of the last request to the resolver
	stopTimer   func()            // stops the timer of the debouncer
	stopRefresh func()            // stops the timer of the names' next resolution
	readFailure string            // error of the last read; "": it succeeded

	mu     sync.Mutex
	list   *serverlist.List // in use; nil: none
	status Status
}

// New returns a watcher. list (nil: none) is the list that is in use already.
func New(o Options, list *serverlist.List) *Watcher {
	w := &Watcher{
		opt: o, events: make(chan func(), maxQueuedEvents), done: make(chan struct{}), dirs: map[string]bool{}, list: list,
		stopTimer: func() {}, stopRefresh: func() {},
	}
	w.status.Path = o.Path
	if list != nil {
		w.status.Generation, w.status.AcceptedMs = list.Generation, o.Clock.Now()
	}
	return w
}

// Close ends Run. It may be called more than once.
func (w *Watcher) Close() { w.once.Do(func() { close(w.done) }) }

// Status returns the state of the list. It may be called at any time.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.status
	for _, d := range status.Defects {
		status.Reasons = append(status.Reasons, d.Error())
	}
	return status
}

// Run follows the list until Close.
func (w *Watcher) Run() {
	var changes <-chan fsnotify.Event
	var failures <-chan error
	var err error
	if w.notifier, err = fsnotify.NewWatcher(); err != nil {
		// The limit of file descriptors or watches may be reached.
		w.opt.Log.Warn("watch").Err(err).Msg("file system notifications are not available; polling the server list")
	} else {
		changes, failures = w.notifier.Events, w.notifier.Errors
		defer w.notifier.Close()
	}
	w.debouncer = debounce.New(w.opt.Debounce, w.opt.Clock.Now())
	w.watchDirs()
	w.perform(w.debouncer.Tick(w.opt.Clock.Now()))
	for {
		select {
		case <-w.done:
			w.stopTimer()
			w.stopRefresh()
			return
		case f := <-w.events:
			f()
		case e := <-changes:
			if w.isRelevant(e) {
				w.perform(w.debouncer.Changed(w.opt.Clock.Now()))
			}
		case err := <-failures:
			// The queue of notifications has overflowed: any file may have changed.
			w.opt.Log.Warn("watch").Err(err).Msg("file system notifications lost; reading the server list")
			w.perform(w.debouncer.Changed(w.opt.Clock.Now()))
		}
	}
}

// post queues f for the loop, unless the watcher is closed.
func (w *Watcher) post(f func()) {
	select {
	case w.events <- f:
	case <-w.done:
	}
}

// perform carries out the debouncer's decision.
func (w *Watcher) perform(a debounce.Action) {
	if a.Accept {
		w.parse()
	}
	if a.Read && !w.reading {
		w.read()
	}
	w.stopTimer()
	wait := a.WakeAt - w.opt.Clock.Now()
	w.stopTimer = w.opt.Clock.After(wait, func() {
		go w.post(func() { w.perform(w.debouncer.Tick(w.opt.Clock.Now())) })
	})
}

// read reads the list on a goroutine of its own: a file system that hangs must not delay the loop.
func (w *Watcher) read() {
	w.reading = true
	w.watchDirs()
	began := w.opt.Clock.Now()
	go func() {
		files, err := ReadFiles(w.opt.Path)
		w.post(func() { w.readDone(began, files, err) })
	}()
}

// readDone passes the result of a read to the debouncer.
func (w *Watcher) readDone(began float64, files []serverlist.File, err error) {
	w.reading = false
	w.mu.Lock()
	w.status.Reads++
	w.mu.Unlock()
	if err != nil {
		w.readFailed(err)
	} else {
		if w.readFailure != "" {
			// The list can be read again: it is used even if it is the one accepted last.
			w.readFailure = ""
			w.debouncer.Invalidate(w.opt.Clock.Now())
		}
		w.files = files
	}
	w.perform(w.debouncer.ReadDone(began, w.opt.Clock.Now(), fingerprint(files), err == nil))
}
