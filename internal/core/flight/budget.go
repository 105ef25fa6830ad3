package flight

import "time"

// budgetSeconds is the length of the sliding window of a Budget.
const budgetSeconds = 10

// Budget limits the retries of one host, within a sliding window of ten
// seconds, to a share of its requests plus a fixed reserve, so that retries
// cannot multiply an overload.
type Budget struct {
	share    float64
	reserve  int
	requests [budgetSeconds]int
	retries  [budgetSeconds]int
	second   int64 // newest second in the window, in Unix time
}

// NewBudget returns a budget that permits share times the number of requests
// plus reserve retries.
func NewBudget(share float64, reserve int) *Budget {
	return &Budget{share: share, reserve: reserve}
}

// RecordRequest counts one request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.second%budgetSeconds]++
}

// AllowRetry consumes one retry from the budget. It returns false if none is
// left.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.share*float64(requests)+float64(b.reserve) {
		return false
	}
	b.retries[b.second%budgetSeconds]++
	return true
}

func (b *Budget) advance(now time.Time) {
	second := now.Unix()
	if second-b.second > budgetSeconds {
		b.second = second - budgetSeconds
	}
	for b.second < second {
		b.second++
		b.requests[b.second%budgetSeconds] = 0
		b.retries[b.second%budgetSeconds] = 0
	}
}
