package discovery

// Settings are in ms. Each wait and pause is drawn, so that a fleet whose calls fall silent or end in one instant does not call
// again in another.
type Settings struct {
	Seed uint64 // of the draws

	// FirstWord is the mean wait for a call's first whole frame, until another call is made beside it; each further wait in a row is
	// WaitGrowth times as long, up to MostWait. A board that is well speaks within some ms. Shorter adds to what a crowded board
	// has to bear, longer leaves fewer calls before what it holds counts as notified.
	FirstWord, WaitGrowth, MostWait float64
	// Silence is the least time without a whole frame after which a call that has spoken gets another one beside it, and
	// SilenceSpread what is drawn on top of it. Frames come each second, and one may be a second late.
	Silence, SilenceSpread float64
	// Interval is the time between two frames of a board that has nothing to tell. A call that lives as long is no failure.
	Interval float64
	// Redial is the mean pause after a call that ended. It doubles with each in a row, up to SoonRedial for the first SoonRedials,
	// which is about as long as there is time to hear what is held, and up to MostRedial after them.
	Redial, SoonRedial, MostRedial float64
	SoonRedials                    int
	// Calls are open at once at most, two at least.
	Calls int

	// NotifiedStarted, NotifiedMoved, NotifiedBroken and NotifiedStopped: so long after the start, a move, a broken call and the last
	// word before a silence, what discovery holds counts as notified. Grace is the time to heed it, the shortest there is.
	NotifiedStarted, NotifiedMoved, NotifiedBroken, NotifiedStopped, Grace float64
	// Margin is how long before that time it is said to be over: what is sent then arrives later.
	Margin float64
}

// NotifiedReplaced is NotifiedStarted of a process that takes over from another one: so long after it says that it is ready.
const NotifiedReplaced = 2000

// Usual are the settings of a deployment that gives so many ms to heed what was notified.
func Usual(seed uint64, grace float64) Settings {
	return Settings{
		Seed: seed, FirstWord: 850, WaitGrowth: 1.25, MostWait: 2500, Silence: 2000, SilenceSpread: 600, Interval: 1000,
		Redial: 100, SoonRedial: 400, SoonRedials: 8, MostRedial: 1600, Calls: 3,
		NotifiedStarted: 4000, NotifiedMoved: 4000, NotifiedBroken: 2000, NotifiedStopped: 4000, Grace: grace, Margin: 100,
	}
}
