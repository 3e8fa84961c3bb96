package main

import (
	"slices"
	"time"

	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/store"
)

// putKeyRetryDelay is the delay between attempts to put a key into the store, which fail until the store has a leader.
const putKeyRetryDelay = 100 * time.Millisecond

// putSigningKeys puts the keys of the operator's file into the store, and returns once the store holds all of them. Once a revision of
// the configuration has named the keys, those of the file count no more: they would bring back a key that the revision has dropped.
func putSigningKeys(st *store.Store, keys config.KeyRing) {
	for ; ; time.Sleep(putKeyRetryDelay) {
		_, named, err := revisionKeys(st)
		if err != nil {
			continue
		}
		if named {
			return
		}
		if putKeys(st, keys) {
			break
		}
	}
	deleteDroppedKeys(st, keys)
}

// putKeys puts keys into the store, and reports whether it holds all of them.
func putKeys(st *store.Store, keys config.KeyRing) bool {
	for id, key := range keys {
		if st.PutKey(id, key) != nil {
			return false
		}
	}
	return true
}

// deleteDroppedKeys deletes those of the keys that a revision has dropped while they were put into the store.
func deleteDroppedKeys(st *store.Store, keys config.KeyRing) {
	for ; ; time.Sleep(putKeyRetryDelay) {
		wanted, named, err := revisionKeys(st)
		if err != nil {
			continue
		}
		if !named {
			return
		}
		deleted := true
		for id := range keys {
			if _, ok := wanted[id]; !ok {
				deleted = st.DeleteKey(id) == nil && deleted
			}
		}
		if deleted {
			return
		}
	}
}

// revisionKeys returns the keys of the latest stored revision that names keys, and whether there is one.
func revisionKeys(st *store.Store) (keys config.KeyRing, named bool, err error) {
	var revisions []storestate.Revision
	if err := st.ReadLinearizable(func(s *storestate.State) { revisions = slices.Clone(s.Revisions) }); err != nil {
		return nil, false, err
	}
	for _, revision := range slices.Backward(revisions) {
		if live, err := config.ParseLive("revision", revision.Text); err == nil && live.SigningKeys != nil {
			return live.SigningKeys, true, nil
		}
	}
	return nil, false, nil
}
