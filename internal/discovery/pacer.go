package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// watchWait is how long discovery waits for a change before it answers a watch, and watchSlack is how much longer the call
	// may take. If a watch falls silent at its start, their sum leaves time to receive what it missed from the next one.
	watchWait  = 3 * time.Second
	watchSlack = 500 * time.Millisecond
	// watchRenewal is the time after an answer in which the next watch has to reach discovery. By the discovery protocol,
	// changes in this time count as notified whether the next watch comes or not.
	watchRenewal = 200 * time.Millisecond
	// fullListTimeout is the timeout of a call for the full list, which includes its time in discovery's queue.
	fullListTimeout = 2200 * time.Millisecond
	// maxAnswerTime is the longest time that an answer takes while discovery is not overloaded. NotifiedAfter has to cover the
	// pause before a call and this time.
	maxAnswerTime = time.Second
	// minPause and maxPause bound the pauses after failed calls to discovery.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
	// promptAnswer is the longest time that an answer takes while few calls are queued at discovery. Discovery drops calls that
	// have been queued for some seconds, so slower answers are an early sign of congestion.
	promptAnswer = 500 * time.Millisecond
	// quickAnswer is the longest time that an answer takes while hardly any call is queued.
	quickAnswer = 200 * time.Millisecond
	// maxPauseAfterMove bounds the pause before the first call to a new address.
	maxPauseAfterMove = 3 * time.Second
	// maxDoublings bounds how often a pause doubles. The bound is far above the longest pause and only prevents an overflow.
	maxDoublings = 8
	// promptFactor, slowFactor and failureFactor multiply the interval between a relay's calls in a large fleet after a prompt
	// answer, a slow answer and a failed call. With larger steps a fleet near discovery's capacity oscillates between too many
	// calls and too few, and one oscillation takes longer than a list may be acted on (see TestFleetGetsOverCongestion).
	promptFactor, slowFactor, failureFactor = 0.9, 1.2, 1.3
	// initialRoundPart scales the first estimate of the time that one call from each relay takes. The estimate is too long, as
	// the first answer was queued behind others, mostly of relays that started at the same time (see
	// TestFleetGetsOverCongestion).
	initialRoundPart = 0.6
	// smallJitter and largeJitter are the parts of the interval by which it varies at random. The variation is small where each
	// call renews a lease just before it expires. It is large where leases expire in any case, because calls that arrive in
	// bunches queue behind each other and leave discovery idle after them.
	smallJitter, largeJitter = 0.04, 0.2
)

// pacer determines the pauses between this relay's calls for the list. Discovery serves the calls of all relays in turn. A
// change, an outage or a mass restart affects all relays at once, so calls repeated at once or after equal pauses would arrive
// together. Pauses are therefore random, and grow with the size of the fleet, so that the rate of all calls together does not
// grow with it, as far as the protocol's times allow.
//
// The relays of a small fleet watch (see polls). Those of a large fleet poll with congestion control, each by the results of
// its own calls. Failed calls and slow answers mean that discovery is overloaded. Calls that time out in its queue use capacity
// that others need, so at an unchanged rate it might answer none in time. The interval between calls therefore grows with each
// failure and slow answer, up to a little more than MaxPollInterval, and shrinks with each prompt answer. The lease determines
// for how long the relay may act on its list meanwhile.
type pacer struct {
	rand                *rand.Rand
	backoffLevel        int           // in a small fleet: doublings of the pause, one more after each failed call, one less after each answer
	consecutiveFailures int           // in a large fleet: failed calls in a row
	interval            time.Duration // in a large fleet: mean time from call to call; 0 before the first answer or failure
}

// evenInterval returns the interval between one relay's calls at which a large fleet makes about ten calls a second in all.
func evenInterval(fleetSize int) time.Duration {
	return max(minPause, 2*minPause*time.Duration(fleetSize-2))
}

// polls reports whether a relay requests the full list at intervals instead of watching for changes. A watch has to be renewed
// within 200 ms (watchRenewal), as a change in that time counts as notified whether the next call comes or not. Where that is
// far less than evenInterval, the simultaneous renewals of all relays would overload discovery after each change.
func polls(fleetSize int) bool { return evenInterval(fleetSize) > maxPause }

// renewInterval returns the longest interval between calls at which the list is confirmed again before the relay has to stop
// sending by it. That is a little more than the lease's duration, as most of the settings' grace for drains is added to it.
func (f Fleet) renewInterval() time.Duration { return max(maxPause, 13*f.leaseDuration()/12) }

// initialInterval returns the interval after the first answer, which was queued and handled at discovery for serverTime.
// Discovery handles calls in turn, so one call from each relay takes at most Size times as long. MaxPollInterval bounds the
// interval, since discovery can answer each relay in that time. Calls at shorter intervals keep discovery so busy that it
// answers none in time.
func (f Fleet) initialInterval(serverTime time.Duration) time.Duration {
	return min(max(f.renewInterval(), scale(time.Duration(f.Size)*serverTime, initialRoundPart)), f.maxInterval())
}

// usualInterval returns the interval below which only quick answers shorten it further. It is well below MaxPollInterval. At
// this interval a lease expires for some time before each call.
func (f Fleet) usualInterval() time.Duration { return max(f.renewInterval(), 7*f.MaxPollInterval/10) }

// minInterval returns the shortest interval, which is reached while answers are prompt: evenInterval, or renewInterval if that
// is shorter.
func (f Fleet) minInterval() time.Duration { return min(evenInterval(f.Size), f.renewInterval()) }

// maxInterval returns the longest interval while answers are slow: MaxPollInterval, or renewInterval if that is longer.
func (f Fleet) maxInterval() time.Duration { return max(f.renewInterval(), f.MaxPollInterval) }

// maxCongestedInterval returns the longest interval while calls fail. It is longer than a list may be used: it is better that
// some relays wait for a list than that none receives one.
func (f Fleet) maxCongestedInterval() time.Duration {
	return max(NotifiedAfter, f.maxInterval(), 12*f.MaxPollInterval/10)
}

// initialPause returns a random pause before the first call of a relay that has a list, so that the first calls of the whole
// fleet are spread over evenInterval, or longest if that is shorter. Where many processes start at once it matters more that
// discovery can answer them than that each lease is renewed before it expires: calls that arrive too fast leave most relays
// without an answer for a long time.
func (p *pacer) initialPause(fleet Fleet, longest time.Duration) time.Duration {
	return time.Duration(p.rand.Float64() * float64(min(evenInterval(fleet.Size), longest)))
}

// jitter returns a random duration that is below or above the mean by at most the given part of it.
func (p *pacer) jitter(mean time.Duration, part float64) time.Duration {
	return time.Duration((1 - part + 2*part*p.rand.Float64()) * float64(mean))
}

// pauseAfterAnswer returns the time until the next call after an answered one; in a large fleet it counts from the start of the
// answered call. That call took duration, of which it was queued and handled at discovery for serverTime. The settings bound the
// pause, as a relay that has not called for MaxPollInterval counts as notified of every change.
func (p *pacer) pauseAfterAnswer(fleet Fleet, duration, serverTime time.Duration) time.Duration {
	p.backoffLevel = max(0, p.backoffLevel-1)
	if !polls(fleet.Size) {
		return p.jitter(min(evenInterval(fleet.Size)<<p.backoffLevel, fleet.renewInterval()), 0.25)
	}
	p.consecutiveFailures = 0
	switch {
	case p.interval == 0:
		p.interval = fleet.initialInterval(serverTime)
	case duration > promptAnswer:
		p.lengthenInterval(fleet, slowFactor, fleet.maxInterval())
	case duration < quickAnswer || p.interval > fleet.usualInterval():
		p.interval = max(fleet.minInterval(), scale(p.interval, promptFactor))
	}
	if p.interval > fleet.renewInterval() {
		return p.jitter(p.interval, largeJitter)
	}
	return p.jitter(p.interval, smallJitter)
}

// lengthenInterval multiplies the interval by a factor after a sign of congestion, up to longest. An interval that is longer than
// that already stays unchanged.
func (p *pacer) lengthenInterval(fleet Fleet, factor float64, longest time.Duration) {
	p.interval = max(p.interval, min(scale(max(p.interval, fleet.minInterval()), factor), longest))
}

// scale returns a duration multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// pauseAfterFailure returns the pause after a call that took duration and failed for a reason other than congestion. The pause is
// short enough that a change is received within NotifiedAfter from the next call, if that one is answered.
func (p *pacer) pauseAfterFailure(fleet Fleet, duration time.Duration) time.Duration {
	longest := NotifiedAfter - maxAnswerTime - duration
	mean := min(evenInterval(fleet.Size)*(maxPause/minPause), evenInterval(fleet.Size)<<p.backoffLevel)
	if mean < longest {
		p.backoffLevel++
	}
	return p.jitter(min(mean, 4*longest/5), 0.25)
}

// pauseAfterCongestion returns the pause after a call that took duration and failed at discovery, which may be overloaded. In a
// large fleet the pause doubles with each such call in a row.
func (p *pacer) pauseAfterCongestion(fleet Fleet, duration time.Duration) time.Duration {
	if !polls(fleet.Size) {
		return p.pauseAfterFailure(fleet, duration)
	}
	pause := p.jitter(min(evenInterval(fleet.Size), NotifiedAfter-duration), 0.25) << min(p.consecutiveFailures, maxDoublings)
	p.consecutiveFailures++
	p.lengthenInterval(fleet, failureFactor, fleet.maxCongestedInterval())
	return min(pause, p.jitter(fleet.maxCongestedInterval(), 0.25)-duration)
}
