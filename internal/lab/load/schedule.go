package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// Phase is a stretch of a schedule over which the rate changes linearly.
type Phase struct {
	Seconds          float64
	FromRate, ToRate float64 // requests a second
}

// Bounds of a schedule: whatever is given, it ends by itself and stays within what one machine can send.
const (
	maxSeconds = 3600
	maxRate    = 100_000 // requests a second
)

// ParsePhases parses "10:50-200,5:400": ten seconds from 50 requests a second to 200, then five at 400.
func ParsePhases(text string) (phases []Phase, err error) {
	total := 0.0
	for _, part := range strings.Split(text, ",") {
		phase, err := parsePhase(part)
		if err != nil {
			return nil, err
		}
		if total += phase.Seconds; total > maxSeconds {
			return nil, fmt.Errorf("%q: a schedule takes %d s at most", text, maxSeconds)
		}
		phases = append(phases, phase)
	}
	return phases, nil
}

func parsePhase(text string) (phase Phase, err error) {
	seconds, rates, ok := strings.Cut(text, ":")
	from, to, ramp := strings.Cut(rates, "-")
	if !ramp {
		to = from
	}
	for _, field := range []struct {
		text string
		into *float64
		most float64
	}{{seconds, &phase.Seconds, maxSeconds}, {from, &phase.FromRate, maxRate}, {to, &phase.ToRate, maxRate}} {
		*field.into, err = strconv.ParseFloat(strings.TrimSpace(field.text), 64)
		inRange := *field.into >= 0 && *field.into <= field.most
		if err != nil || !ok || !inRange {
			return Phase{}, fmt.Errorf("%q is not of the form SECONDS:RATE or SECONDS:RATE-RATE", text)
		}
	}
	return phase, nil
}

// ForEachDueTime calls each with the time, in ms from the start, at which each request is due, until it returns false. The nth is due
// when the area under the rate has reached n.
func ForEachDueTime(phases []Phase, each func(ms float64) bool) {
	const step = 1.0 // ms
	start, due := 0.0, 0.0
	for _, phase := range phases {
		length := phase.Seconds * 1000
		for t := 0.0; t < length; t += step {
			rate := (phase.FromRate + (phase.ToRate-phase.FromRate)*t/length) / 1000
			for due += rate * step; due >= 1; due-- {
				if !each(start + t) {
					return
				}
			}
		}
		start += length
	}
}

// FollowSchedule sends requests by a schedule, whatever becomes of earlier ones. Latency counts from when a request was due and
// not from when it could be sent, so that a proxy that stalls does not hide the requests delayed by it (coordinated omission).
func (c *Client) FollowSchedule(ctx context.Context, phases []Phase) {
	began := c.options.Clock.Now()
	ForEachDueTime(phases, func(ms float64) bool {
		if !c.waitUntil(ctx, began+ms) {
			return false
		}
		c.sendAt(began+ms, func() {})
		return ctx.Err() == nil
	})
}

// waitUntil waits for a time of the clock in ms. It is false if ctx ended before.
func (c *Client) waitUntil(ctx context.Context, due float64) bool {
	wait := due - c.options.Clock.Now()
	if wait <= 0 {
		return true
	}
	reached := make(chan struct{})
	stop := c.options.Clock.After(wait, func() { close(reached) })
	select {
	case <-reached:
		return true
	case <-ctx.Done():
		stop()
		return false
	}
}
