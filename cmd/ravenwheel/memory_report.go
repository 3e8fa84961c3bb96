package main

import (
	"github.com/rs/zerolog"

	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/reasons"
)

// memoryReportMs is the interval at which what the process holds is logged, if something was refused or closed for it meanwhile.
const memoryReportMs = 2000

// memoryReport logs what the process holds for each owner, and why the fronts closed connections and refused requests.
type memoryReport struct {
	env     environment
	front   *resp.Front
	signed  *signed.Front // nil: off
	noticed int64         // requests and connections that had been refused or closed by the last report
}

// start writes a report whenever something was refused or closed since the last one, until stop is called.
func (r *memoryReport) start() (stop func()) {
	ended := make(chan struct{})
	var schedule func()
	schedule = func() {
		r.env.clock.After(memoryReportMs, func() {
			select {
			case <-ended:
				return
			default:
			}
			if n := r.countNoticeable(); n > r.noticed {
				r.noticed = n
				r.write("scarce")
			}
			schedule()
		})
	}
	schedule()
	return func() { close(ended) }
}

// countNoticeable counts the refusals and closes that are caused by a lack of memory or of slots.
func (r *memoryReport) countNoticeable() (n int64) {
	for _, usage := range r.env.memory.Usage() {
		n += usage.Refused
	}
	return n
}

// write logs the report.
func (r *memoryReport) write(reason string) {
	if r.env.memory == nil {
		return
	}
	used, highest := r.env.memory.Total()
	line := r.env.log.Info("memory").Str("reason", reason).Int64("limit", r.env.memory.Limit()).Int64("used", used).Int64("highest", highest)
	owners := zerolog.Dict()
	for _, usage := range r.env.memory.Usage() {
		owners.Dict(usage.Owner.String(), zerolog.Dict().Int64("used", usage.Used).Int64("highest", usage.Highest).Int64("most", usage.Most).Int64("refused", usage.Refused))
	}
	if r.signed != nil {
		line.Dict("signed_closes", reasonDict(r.signed.Closes())).Dict("signed_refusals", reasonDict(r.signed.Refusals()))
	}
	line.Dict("owners", owners).Dict("closes", reasonDict(r.front.Closes())).Dict("refusals", reasonDict(r.front.Refusals())).
		Int("connections", r.front.OpenConns()).Msg("memory by owner, closes and refusals by reason")
}

// reasonDict returns the counts by reason.
func reasonDict(counts []reasons.Count) *zerolog.Event {
	dict := zerolog.Dict()
	for _, c := range counts {
		dict.Int64(c.Reason, c.Count)
	}
	return dict
}
