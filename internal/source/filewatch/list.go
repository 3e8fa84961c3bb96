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

// Load reads, checks and resolves a list once, and compares it with the list in use (nil: none). Defects are returned as
// strictjson.Defects.
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

// parse checks the files read last. A draft that is not valid leaves the one before it, whose names are still refreshed.
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

// resolve resolves the hosts of the draft on a goroutine of its own, and uses the draft with the result, unless a newer
// request has been made in the meantime.
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

// refreshLater resolves the names again once the answers have expired.
func (w *Watcher) refreshLater(request int) {
	w.stopRefresh = w.opt.Clock.After(w.opt.Resolver.TTL, func() {
		go w.post(func() {
			if request == w.resolution {
				w.resolve()
			}
		})
	})
}

// accept puts a draft in use, if decide/serverlist accepts it after the list in use.
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

// reject notes why the text there now is not in use. The same defects are logged once.
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

// readFailed rejects a list that can't be read, once for each cause.
func (w *Watcher) readFailed(err error) {
	if w.readFailure == err.Error() || errors.Is(err, ErrChanged) {
		return
	}
	w.readFailure = err.Error()
	w.reject(strictjson.Defects{{File: w.opt.Path, Reason: withoutPath(err)}})
}

// withoutPath returns the text of an error without its path, which stands before it in the defect.
func withoutPath(err error) string {
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
