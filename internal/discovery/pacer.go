package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// watchFor and watchSlack are how long a watch waits, and how much longer its call: together they leave time to
	// hear from the next one what a watch that fell silent at its start has missed.
	watchWait  = 3 * time.Second
	watchSlack = 500 * time.Millisecond
	// watchGap is within which the next call of a watch has to come: changes behind an answer count as told for so long, whether
	// it comes or not (protocol page, "Discovery").
	watchRenewal = 200 * time.Millisecond
	// answerIn is for a whole list, which waits for its turn.
	fullListTimeout = 2200 * time.Millisecond
	// takesIn is how long an answer takes at most where discovery has time for it; it is what HeardIn has to hold, too.
	maxAnswerTime = time.Second
	// firstPause and longPause bound the pauses after a call to the platform that failed.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
	// promptIn is how long an answer takes at most where few calls wait for their turn. Discovery gives up calls that wait
	// for some seconds, so slower ones are a first sign of congestion.
	promptAnswer = 500 * time.Millisecond
	// quickIn is how long an answer takes at most where hardly a call waits for another.
	quickAnswer = 200 * time.Millisecond
	// moveIn bounds the time to the first call of a process that was told another address.
	maxPauseAfterMove = 3 * time.Second
	// backOffMost is how often a pause doubles: far beyond the longest one.
	maxDoublings = 8
	// The time between calls of a large fleet's relay changes by these factors: after a prompt answer, a slow one, and a call that
	// failed. Near what discovery can handle a fleet whose relays change theirs by more swings between too many calls and
	// too few, and a list may be acted on for less time than a swing takes (trials with TestFleetGetsOverCongestion).
	promptFactor, slowFactor, failureFactor = 0.9, 1.2, 1.3
	// firstRound is the part of a round of calls by the whole fleet, as the first answer has it, that the time from call to call is
	// at first: that answer waited for others, mostly of relays that started with this one (trials with TestFleetGetsOverCongestion).
	initialRoundPart = 0.6
	// even and mixed are the parts by which the time between calls differs by chance: little where each call renews a list just
	// before it expires, and much where lists expire in any case, for calls that come in bunches wait for each other, and leave
	// discovery idle behind them.
	smallJitter, largeJitter = 0.04, 0.2
)

// pacer spaces this relay's calls for the list. Discovery serves all relays in turn, and a change, an
// outage or a mass restart is one for all of them: asking again at once, or after equal pauses, they come
// in step. Pauses are by chance, and as much longer as the fleet is larger, so that what all ask together does not grow
// with it, as far as terms allow.
//
// A small fleet watches (see polls). A large one polls, and its relays heed congestion, each by what it meets: where calls
// fail or are answered slowly, discovery has more to do than it can, and calls that wait too long take their turn from
// others, so at an unchanged pace nobody may be answered any more. So the time between calls grows with each failure and
// slow answer, up to a little more than the time in which the settings have a relay ask, and shrinks with each prompt one.
// What a relay may do with its list meanwhile is the lease's matter.
type pacer struct {
	rand                *rand.Rand
	backoffLevel        int           // of a small fleet: doublings, one more with each failed call, one less with each answer
	consecutiveFailures int           // calls of a large fleet's relay that failed in a row
	interval            time.Duration // from call to call of a large fleet's relay, in the mean; 0 before the first one is over
}

// share is the time in which one call of this relay is its even part of what the fleet asks.
func evenInterval(fleetSize int) time.Duration {
	return max(minPause, 2*minPause*time.Duration(fleetSize-2))
}

// polls tells whether a relay asks for the whole list now and then, and watches no changes. A watch has to
// be renewed within 200 ms: a change in that time counts as told, whether the next call comes or not. Where
// that is far less than a relay's share, all renewals at once would overbook discovery with each change.
func polls(fleetSize int) bool { return evenInterval(fleetSize) > maxPause }

// within is the time from call to call in which a list is heard of again before nothing may be sent by it any more: most of the
// settings' grace for drains comes on top of the list's time.
func (f Fleet) renewInterval() time.Duration { return max(maxPause, 13*f.leaseDuration()/12) }

// round is the time from call to call after the first answer. Discovery handles calls in turn, so one for each relay takes it as
// many times as long as that one took, at the most; the settings' time allows for what it can handle. Calls that come faster than
// that keep it so busy that nobody is answered any more.
func (f Fleet) initialInterval(serverTime time.Duration) time.Duration {
	return min(max(f.renewInterval(), scale(time.Duration(f.Size)*serverTime, initialRoundPart)), f.maxInterval())
}

// usual is the time from call to call below which it shrinks after quick answers only: well within the settings' time. A list may
// not be acted on for some of it.
func (f Fleet) usualInterval() time.Duration { return max(f.renewInterval(), 7*f.MaxPollInterval/10) }

// shortest is the time from call to call while answers come promptly: a relay's share, if that is within the settings' time.
func (f Fleet) minInterval() time.Duration { return min(evenInterval(f.Size), f.renewInterval()) }

// slow is the longest time from call to call while answers come slowly: the settings' time.
func (f Fleet) maxInterval() time.Duration { return max(f.renewInterval(), f.MaxPollInterval) }

// congested is the longest time from call to call where calls fail, beyond that for which a list may be used: better that some
// relays wait for a list than that none gets one.
func (f Fleet) maxCongestedInterval() time.Duration {
	return max(NotifiedAfter, f.maxInterval(), 12*f.MaxPollInterval/10)
}

// first is the pause before the first call where there is a list to work from, and so much time: a relay's share of a round of
// calls by the whole fleet. Where many processes start at once it is worth more that discovery can answer them than that the list
// of each is heard of before it expires: calls that come too fast leave most without an answer for long.
func (p *pacer) initialPause(f Fleet, longest time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(min(evenInterval(f.Size), longest)))
}

// around is a time by chance, as much under as over a mean: the part of it at most.
func (p *pacer) jitter(mean time.Duration, part float64) time.Duration {
	return time.Duration((1 - part + 2*part*p.rand.Float64()) * float64(mean))
}

// next is the pause after an answer that took so long, from the call that it came for, of which it waited for its turn and was
// handled for a part. The settings bound it: a relay that has not asked for so long counts as told of what it does not know.
func (p *pacer) pauseAfterAnswer(f Fleet, duration, serverTime time.Duration) time.Duration {
	p.backoffLevel = max(0, p.backoffLevel-1)
	if !polls(f.Size) {
		return p.jitter(min(evenInterval(f.Size)<<p.backoffLevel, f.renewInterval()), 0.25)
	}
	p.consecutiveFailures = 0
	switch {
	case p.interval == 0:
		p.interval = f.initialInterval(serverTime)
	case duration > promptAnswer:
		p.lengthenInterval(f, slowFactor, f.maxInterval())
	case duration < quickAnswer || p.interval > f.usualInterval():
		p.interval = max(f.minInterval(), scale(p.interval, promptFactor))
	}
	if p.interval > f.renewInterval() {
		return p.jitter(p.interval, largeJitter)
	}
	return p.jitter(p.interval, smallJitter)
}

// slower stretches the time between calls by a factor for what may be congestion, up to a time; one that is longer stays as it is.
func (p *pacer) lengthenInterval(f Fleet, factor float64, longest time.Duration) {
	p.interval = max(p.interval, min(scale(max(p.interval, f.minInterval()), factor), longest))
}

// scaled is a multiple of a time.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// failed is the pause after a call that failed and took so long, surely not for congestion: short enough to hear of a change within HeardIn from the next
// one, if that is answered.
func (p *pacer) pauseAfterFailure(f Fleet, duration time.Duration) time.Duration {
	longest := NotifiedAfter - maxAnswerTime - duration
	mean := min(evenInterval(f.Size)*(maxPause/minPause), evenInterval(f.Size)<<p.backoffLevel)
	if mean < longest {
		p.backoffLevel++
	}
	return p.jitter(min(mean, 4*longest/5), 0.25)
}

// crowdedOut is the pause after a call that failed at discovery, which may have more to do than it can. In a large fleet it
// doubles with each one in a row.
func (p *pacer) pauseAfterCongestion(f Fleet, duration time.Duration) time.Duration {
	if !polls(f.Size) {
		return p.pauseAfterFailure(f, duration)
	}
	pause := p.jitter(min(evenInterval(f.Size), NotifiedAfter-duration), 0.25) << min(p.consecutiveFailures, maxDoublings)
	p.consecutiveFailures++
	p.lengthenInterval(f, failureFactor, f.maxCongestedInterval())
	return min(pause, p.jitter(f.maxCongestedInterval(), 0.25)-duration)
}
