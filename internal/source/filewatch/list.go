package filewatch

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/cespare/xxhash/v2"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/strictjson"
)

// Load reads, checks and resolves a list once, and compares it with current, the list in use (nil: none). The error is of type
// strictjson.Defects if the list has defects.
func Load(
	path string, requirements serverlist.Requirements, cache *resolver.Cache, current *serverlist.List,
) (*serverlist.List, error) {
	files, err := ReadFiles(path)
	if err != nil {
		return nil, err
	}
	draft, defects := serverlist.Parse(files, requirements)
	if defects != nil {
		return nil, defects
	}
	list, defects := draft.Resolve(cache.Resolve(draft.Hosts()), current)
	return list, defects.Err()
}

// parse checks the files that were read last. If they are not valid, the draft before them is kept, and its names are still
// resolved again.
func (w *Watcher) parse() {
	draft, defects := serverlist.Parse(w.files, w.opt.Requirements)
	w.files = nil
	if defects != nil {
		w.reject(defects)
		return
	}
	w.draft = draft
	w.resolve()
}

// resolve resolves the hosts of the draft on a goroutine of its own. The draft is accepted with the result, unless a newer
// request was made in the meantime.
func (w *Watcher) resolve() {
	w.resolution++
	request, draft := w.resolution, w.draft
	go func() {
		hosts := draft.Hosts()
		resolutions := w.opt.Resolver.Resolve(hosts)
		w.post(func() {
			if request != w.resolution {
				return
			}
			w.opt.Resolver.Retain(hosts)
			w.accept(draft, resolutions)
			w.stopRefresh()
			if resolver.HasNames(hosts) {
				w.refreshLater(request)
			}
		})
	}()
}

// refreshLater has the names resolved again once the answers have expired.
func (w *Watcher) refreshLater(request int) {
	w.stopRefresh = w.opt.Clock.After(w.opt.Resolver.TTL, func() {
		go w.post(func() {
			if request == w.resolution {
				w.resolve()
			}
		})
	})
}

// accept puts a draft in use if decide/serverlist accepts it as the successor of the list in use.
func (w *Watcher) accept(draft *serverlist.Draft, resolutions map[string]serverlist.Resolution) {
	w.mu.Lock()
	current := w.list
	w.mu.Unlock()
	next, defects := draft.Resolve(resolutions, current)
	if defects != nil {
		w.reject(defects)
		return
	}
	w.mu.Lock()
	w.status.Defects, w.status.RejectedMs = nil, 0
	if next != current {
		w.list = next
		w.status.Generation, w.status.AcceptedMs = next.Generation, w.opt.Clock.Now()
		w.status.Accepted++
	}
	w.mu.Unlock()
	if next == current {
		return
	}
	counts := map[serverlist.ChangeKind]int{}
	for _, c := range serverlist.Diff(current, next) {
		counts[c.Kind]++
	}
	w.opt.Log.Info("list").Uint64("generation", next.Generation).Int("servers", len(next.Servers)).
		Interface("changes", counts).Msg("server list accepted")
	w.opt.OnList(next)
}

// reject records why the present content of the files is not in use. It logs the same defects once.
func (w *Watcher) reject(defects strictjson.Defects) {
	w.mu.Lock()
	same := w.status.Defects.Error() == defects.Error()
	w.status.Defects, w.status.RejectedMs = defects, w.opt.Clock.Now()
	w.status.Rejected++
	inUse := w.status.Generation
	w.mu.Unlock()
	if same {
		return
	}
	w.opt.Log.Error("list").Str("reason", defects[0].Error()).Int("defects", len(defects)).Uint64("in_use", inUse).
		Msg("server list rejected; the list in use stays")
}

// readFailed rejects a list that can't be read, once per error. A file that changed while it was read is read again instead.
func (w *Watcher) readFailed(err error) {
	if w.readFailure == err.Error() || errors.Is(err, ErrChanged) {
		return
	}
	w.readFailure = err.Error()
	w.reject(strictjson.Defects{{File: w.opt.Path, Reason: withoutPath(err)}})
}

// withoutPath returns the text of an error without its path, as a defect has the path already.
func withoutPath(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// fingerprint returns a hash of the files' names and contents.
func fingerprint(files []serverlist.File) uint64 {
	h := xxhash.New()
	for _, f := range files {
		_, _ = fmt.Fprintf(h, "%s\x00%d\x00", f.Name, len(f.Data))
		_, _ = h.Write(f.Data)
	}
	return h.Sum64()
}
