package services

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/httpapi"
)

// limitedServer is a backend server that names a rate limit and records its requests.
type limitedServer struct {
	perSecond float64
	mu        sync.Mutex
	received  []time.Time
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, time.Now())
	w.Header().Set(httpapi.HeaderRequestsPerSecond, strconv.FormatFloat(s.perSecond, 'f', -1, 64))
}

// The target: over limitWindow, from limitNotice after its first answer, a server may
// get 1.5 times what its limit allows and 5 requests more.
const (
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
)

// most returns the largest number of requests within limitWindow.
func (s *limitedServer) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.received {
		for at.Sub(s.received[first]) > limitWindow || s.received[first].Sub(s.received[0]) < limitNotice {
			if first == i {
				break
			}
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *limitedServer) allowed() int { return int(1.5*s.perSecond*limitWindow.Seconds()) + 5 }

// Guards against hosts that each keep a server's limit, but exceed it together, and
// against a limit that is left unused while callers are refused.
func TestHostsTogetherKeepLimitOfService(t *testing.T) {
	for _, path := range []string{"orders/search/trays", "orders/trays"} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			servers := []*limitedServer{{perSecond: 2}, {perSecond: 2}}
			for i, s := range servers {
				env.server(fmt.Sprint("s", i), "here", s.ServeHTTP)
			}
			hosts := []*host{env.start("a"), env.start("b"), env.start("c")}
			var calls sync.WaitGroup
			ticker := time.NewTicker(time.Second / 30)
			defer ticker.Stop()
			var mu sync.Mutex
			refusals := make(map[string]int)
			for n := range 180 {
				<-ticker.C
				calls.Go(func() {
					got := hosts[n%len(hosts)].send(http.MethodPost, PathPrefix+path, "12 trays", httpapi.HeaderRequestTimeout, "2000", httpapi.HeaderIdempotencyKey, newKey(t))
					if got.Code == http.StatusOK {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					refusals[outcome(got)]++
					must.NotEq(t, "", got.Header().Get("Retry-After"))
				})
			}
			calls.Wait()
			for _, s := range servers {
				must.Between(t, int(0.75*s.perSecond*limitWindow.Seconds()), s.most(), s.allowed())
			}
			must.MapLen(t, 1, refusals)
			must.Positive(t, refusals["not-run rate-limited"])
		})
	}
}
