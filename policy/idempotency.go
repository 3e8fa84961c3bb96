package policy

// maySendTo reports whether another attempt at the server can have no second effect. For a request with an
// idempotency key that holds in the scope of caches that discard duplicates, and while they remember the key.
func (req *openRequest) maySendTo(now Time, to *server) bool {
	first := req.firstPossiblyExecuted()
	if first == nil || req.class.Idempotency == Idempotent {
		return true
	}
	if req.class.Idempotency == NotIdempotent || now-first.sentAt >= req.class.DedupWindow {
		return false
	}
	switch req.class.DedupScope {
	case DedupZone:
		return to.Zone == first.server.Zone
	case DedupCell:
		return to.Cell == first.server.Cell
	}
	return true
}

// mayReject reports whether the client may be told that a retry is harmless. A client's retry may reach any
// cache, so an idempotency key protects it only if all caches discard its duplicates.
func (req *openRequest) mayReject() bool {
	class := req.class
	dedupedEverywhere := class.Idempotency == IdempotentByKey && class.DedupScope == DedupAll
	return class.Idempotency == Idempotent || dedupedEverywhere || req.firstPossiblyExecuted() == nil
}
