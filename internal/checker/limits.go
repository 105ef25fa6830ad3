package checker

import (
	"slices"
	"time"
)

// The target for backend servers with a rate limit: from limitNotice after a server
// first named its limit, it gets within limitWindow at most limitFactor times what the
// limit allows and limitExtra requests more.
const (
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedRequest is a request to a backend server, with the rate limit that the server
// named in its response, or 0.
type limitedRequest struct {
	at        time.Time
	perSecond float64
}

// checkLimits checks rule L1: no backend server gets more requests than the rate limit
// that it names allows.
func (c *check) checkLimits() Verdict {
	v := Verdict{ID: "L1", Text: "no backend server gets more requests than the limit that it names"}
	requests := make(map[string][]limitedRequest)
	for _, call := range c.Services {
		requests[call.Server] = append(requests[call.Server], limitedRequest{call.Time, call.RequestsPerSecond})
	}
	for _, journal := range c.Engines {
		for _, r := range journal.Requests {
			requests[r.Engine] = append(requests[r.Engine], limitedRequest{r.Time, r.RequestsPerSecond})
		}
	}
	for server, list := range requests {
		slices.SortFunc(list, func(x, y limitedRequest) int { return x.at.Compare(y.at) })
		checkServerLimit(&v, server, list)
	}
	return v
}

// checkServerLimit checks each window of a server's requests that begins limitNotice
// after the server began to name a limit and in which it named the same limit.
func checkServerLimit(v *Verdict, server string, requests []limitedRequest) {
	var since time.Time // when the server began to name the current limit
	first, named := 0, 0.0
	for i, r := range requests {
		if r.perSecond != named {
			since, named, first = r.at, r.perSecond, i
		}
		for first < i && (r.at.Sub(requests[first].at) > limitWindow || requests[first].at.Sub(since) < limitNotice) {
			first++
		}
		if named == 0 || requests[first].at.Sub(since) < limitNotice {
			continue
		}
		got, allowed := i-first+1, int(limitFactor*named*limitWindow.Seconds())+limitExtra
		v.record(got <= allowed, "server %s named a limit of %g a second and got %d requests in %s, allowed %d", server, named, got, limitWindow, allowed)
	}
}
