package logstore

import "time"

// Bounds of the reads of a follower.
const (
	// maxReadBytes bounds the size of one read.
	maxReadBytes = 1 << 20
	// minReadBytes is the size from which reads are not reduced further. It takes 9 ms
	// on a link of 60 Mbit/s.
	minReadBytes = 64 << 10
	// outageReadTimeout bounds the first read after the store became unavailable. A
	// read sent before the store recovers gets no response, so attempts are short.
	outageReadTimeout = 400 * time.Millisecond
	// maxOutageReadTimeout bounds later reads of an outage.
	maxOutageReadTimeout = 900 * time.Millisecond
	// patientTimeout bounds the reads that find out whether the store answers, but slowly,
	// and the reads of a store that does. It is below 3 s, the time after an outage from
	// which hosts count as reachable again.
	patientTimeout = 2800 * time.Millisecond
	// patientAfter is the number of consecutive failures after which a patient read is sent.
	patientAfter = 2
	// listTimeout bounds the first read of a page of a listing, whose size the follower
	// cannot choose, and maxListTimeout later ones.
	listTimeout    = 2800 * time.Millisecond
	maxListTimeout = 5600 * time.Millisecond
	// yieldReadBytes is the size of the first read of a host that yields. Its latency shows
	// whether the store is busy while the hosts that do not yield still read.
	yieldReadBytes = 128 << 10
	// growBelow is the time for an answer up to which the next read asks for more: an answer
	// of twice the size is expected to arrive before its read is given up.
	growBelow = patientTimeout / 2
	// slowPage is the time for a page of a listing from which the store counts as busy.
	slowPage = 250 * time.Millisecond
	// yieldFactor is the pause after a slow page in multiples of its time.
	yieldFactor = 2
	// maxYield bounds the pauses of one listing.
	maxYield = 2500 * time.Millisecond
)

// pacing chooses the size and the timeout of a follower's reads, so that every retry
// can make progress: a read that timed out is repeated with less to transfer or more
// time. It is designed for the end of an outage, when many hosts read their backlogs
// at once over slow links and share the bandwidth of the store.
type pacing struct {
	readBytes int
	failures  int           // consecutive reads that failed
	latency   time.Duration // of the last answer, without the time that the store was asked to wait
}

func newPacing() pacing { return pacing{readBytes: maxReadBytes} }

// succeeded records a read that returned what it asked for.
func (p *pacing) succeeded() {
	if p.latency < growBelow {
		p.readBytes = min(2*p.readBytes, maxReadBytes)
	}
	p.failures = 0
}

// truncated records a read that timed out after it had received some records.
func (p *pacing) truncated() {
	p.readBytes = max(p.readBytes/2, minReadBytes)
	p.failures = 0
}

// failed records a read without a response.
func (p *pacing) failed() {
	p.readBytes = max(p.readBytes/4, minReadBytes)
	p.failures++
}

// answered records how long the store took for an answer.
func (p *pacing) answered(latency time.Duration) { p.latency = max(latency, 0) }

// margin returns the time that a read gets beyond the time that the store is asked to wait.
func (p *pacing) margin() time.Duration {
	return min(max(2*p.latency, longPollMargin), patientTimeout-longPollTimeout)
}

// outageTimeout returns the timeout of a read while the store is unavailable.
func (p *pacing) outageTimeout() time.Duration {
	return min(outageReadTimeout<<min(p.failures, 4), maxOutageReadTimeout)
}

// needsPatience reports whether reads fail that may only have too little time.
func (p *pacing) needsPatience() bool { return p.failures >= patientAfter }

// pageTimeout returns the timeout of a page of a listing.
func (p *pacing) pageTimeout() time.Duration {
	return min(listTimeout<<min(p.failures, 4), maxListTimeout)
}

// yieldPause returns the pause of a host that is in no hurry after a page of a listing. The
// pauses of a listing add up to maxYield at most: pages are slow also where the store is
// slow for a reason other than the listings.
func yieldPause(took, yielded time.Duration) time.Duration {
	if took < slowPage {
		return 0
	}
	return min(yieldFactor*took, maxYield-yielded)
}
