package policy

// maySendTo reports whether an attempt at the server is safe: the request cannot take effect a second time.
// With an idempotency key, an attempt is safe at the caches of the request's DedupScope until DedupWindow has
// passed since the first attempt that may have executed the request.
func (req *openRequest) maySendTo(now Time, to *server) bool {
	first := req.firstPossiblyExecuted()
	idempotency := req.class.EffectiveIdempotency(req.KeyIssuer)
	if first == nil || idempotency == Idempotent {
		return true
	}
	if idempotency == NotIdempotent || now-first.sentAt >= req.class.DedupWindow {
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

// mayReject reports whether a rejection is safe: it tells the client that it may retry. A client's retry may
// reach any cache, so an idempotency key makes it safe only if the retry has the same key and all caches
// discard duplicates together.
func (req *openRequest) mayReject() bool {
	idempotency := req.class.EffectiveIdempotency(req.KeyIssuer)
	dedupedEverywhere := idempotency == IdempotentByKey && req.class.DedupScope == DedupAll
	retryIsDeduped := dedupedEverywhere && req.KeyIssuer == ClientKey
	return idempotency == Idempotent || retryIsDeduped || req.firstPossiblyExecuted() == nil
}
