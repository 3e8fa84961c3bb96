package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// decode decodes the JSON body of a request into a value. It reads at most limit bytes.
func decode(r *http.Request, limit int64, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, limit)).Decode(into)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// replyFailure answers a command that failed: with status 409 if err is ErrNotMember, which tells the operator to call a member
// of the store; else with status 507 and the error, preceded by the command's outcome.
func replyFailure(w http.ResponseWriter, outcome string, err error) {
	if errors.Is(err, ErrNotMember) {
		http.Error(w, ErrNotMember.Error(), http.StatusConflict)
		return
	}
	http.Error(w, outcome+err.Error(), http.StatusInsufficientStorage)
}
