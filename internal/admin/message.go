package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// decode reads the JSON body of a request, of limit bytes at most.
func decode(r *http.Request, limit int64, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, limit)).Decode(into)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// replyFailure answers a command that failed: with the error after what it says about the outcome, or that a member of
// the store is to be called.
func replyFailure(w http.ResponseWriter, outcome string, err error) {
	if errors.Is(err, ErrNotMember) {
		http.Error(w, ErrNotMember.Error(), http.StatusConflict)
		return
	}
	http.Error(w, outcome+err.Error(), http.StatusInsufficientStorage)
}
