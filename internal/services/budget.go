package services

import (
	"sync"
	"time"
)

// budgetSeconds is the window over which retries are compared with requests.
const budgetSeconds = 10

// budget bounds retries to a share of the requests of the last seconds plus a
// reserve.
type budget struct {
	share   float64
	reserve int

	mu      sync.Mutex
	seconds [budgetSeconds]budgetSecond
}

type budgetSecond struct {
	at                int64 // Unix time
	requests, retries int
}

func newBudget(share float64, reserve int) *budget { return &budget{share: share, reserve: reserve} }

func (b *budget) slot(now time.Time) *budgetSecond {
	at := now.Unix()
	slot := &b.seconds[at%budgetSeconds]
	if slot.at != at {
		*slot = budgetSecond{at: at}
	}
	return slot
}

// request counts a request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).requests++
}

// retry counts a retry, if one is allowed.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot(now)
	requests, retries := 0, 0
	for _, s := range b.seconds {
		if s.at > now.Unix()-budgetSeconds && s.at <= now.Unix() {
			requests += s.requests
			retries += s.retries
		}
	}
	if float64(retries) >= b.share*float64(requests)+float64(b.reserve) {
		return false
	}
	slot.retries++
	return true
}
