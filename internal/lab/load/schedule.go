package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// Phase is a part of a schedule in which the rate changes linearly.
type Phase struct {
	Seconds          float64
	FromRate, ToRate float64 // at the phase's start and end, in requests per second
}

// Bounds of a schedule, so that any schedule ends by itself and one machine can send its requests.
const (
	maxSeconds = 3600
	maxRate    = 100_000 // requests per second
)

// ParsePhases parses phases. For example, "10:50-200,5:400" is 10 s in which the rate rises from 50 to 200 requests per second,
// then 5 s at 400 requests per second.
func ParsePhases(text string) (phases []Phase, err error) {
	total := 0.0
	for _, part := range strings.Split(text, ",") {
		phase, err := parsePhase(part)
		if err != nil {
			return nil, err
		}
		if total += phase.Seconds; total > maxSeconds {
			return nil, fmt.Errorf("schedule %q takes longer than %d s", text, maxSeconds)
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
			return Phase{}, fmt.Errorf("phase %q is not SECONDS:RATE or SECONDS:RATE-RATE, or a value is out of range", text)
		}
	}
	return phase, nil
}

// ForEachDueTime calls each with the time at which each request is due, in ms from the start, until each returns false. Request n
// is due when the integral of the rate over time has reached n.
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

// FollowSchedule sends requests at the times of a schedule, without waiting for the answers to earlier ones. Latency counts from
// when a request was due and not from when it was sent. Otherwise a proxy that stalls would delay the sending too, and its stall
// would be missing from the latencies (coordinated omission).
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

// waitUntil waits until a time of the clock, in ms. It returns false if ctx ends before.
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
