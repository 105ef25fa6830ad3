//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	siteHost     = "proofs.example"
	promptTokens = 1016
)

// trainer asks for one job a step, ends it when enough groups are complete, trains, and
// names the next version.
type trainer struct {
	world  *world
	model  string
	prefix string
	folder string // of the paths of submissions, below prefix
	groups int
	wanted int
	random *rand.Rand

	mu    sync.Mutex
	named int64 // newest version that the trainer has named
	steps int
	// accepted is called when the job of a step was accepted. It may be nil.
	accepted func(step int64)
	// moved is set once submissions go to paths directly below prefix.
	moved bool
	// check gets each result once, with the time since the job was first submitted.
	check func(job string, age time.Duration, r result)
}

const (
	groupSize    = 4
	stepInterval = 4 * time.Second
	trainTime    = time.Second
	// callDelay is the time from the acknowledgement of a version at the store until the
	// trainer's next call reaches a host: four ways of 3 ms, for the acknowledgement, a new
	// connection and the call.
	callDelay = 12 * time.Millisecond
	dueTime   = 7500 * time.Millisecond
)

type result struct {
	ID, State, Text string
	Versions        []int64
}

func (t *trainer) newest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named
}

// randomID returns an ID of 16 hexadecimal digits.
func randomID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

// run asks for steps until the given time, each at its scheduled time. If the version that
// the trainer waits for is not named by then, it asks once it has named the version.
func (t *trainer) run(until time.Time) {
	next := time.Now()
	for step := int64(0); time.Now().Before(until); step++ {
		time.Sleep(time.Until(next))
		t.step(step, until)
		time.Sleep(trainTime)
		t.steps++
		t.name(step + 2)
		time.Sleep(callDelay)
		next = next.Add(stepInterval)
	}
}

// path returns the path below which the trainer submits jobs.
func (t *trainer) path() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.moved {
		return t.prefix
	}
	return t.prefix + t.folder
}

// name writes a new version to the store, as the trainer does.
func (t *trainer) name(version int64) {
	t.mu.Lock()
	t.named = version
	t.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"model": t.model, "version": version})
	t.world.store.put("op", "version/"+t.model, data)
	t.world.record.add("trainer names %s v%d", t.model, version)
}

// step plays one training step. Step k allows version k - 1 and newer; version 1 is the
// one of step 0.
func (t *trainer) step(step int64, until time.Time) {
	job := randomID(t.random)
	groupOf := make(map[string]string)
	var items []map[string]any
	for range t.groups {
		group := "g" + randomID(t.random)[:6]
		for range groupSize {
			id := randomID(t.random)
			groupOf[id] = group
			items = append(items, map[string]any{
				"id": id, "path": t.prefix + id[:4], "group": group, "tokens": promptTokens + 58*runEvents(id), "body": []byte("prompt of " + group),
				"headers": map[string]string{headerModel: t.model, headerTokens: fmt.Sprintf("%d,%d", promptTokens, 58*mostEvents), "X-Sesamestand-Length-Hint": strconv.Itoa(58 * runEvents(id)), "X-Sesamestand-Prefix-Hash": "9c2e41:1000,5d07b8:16"},
			})
		}
	}
	body, _ := json.Marshal(map[string]any{"step": step, "model": t.model, "min_version": max(step, 1), "group_count": t.wanted, "items": items})
	submitted := time.Now()
	due := submitted.Add(dueTime)
	for status := 0; status != http.StatusAccepted; {
		status, _ = t.call(http.MethodPost, t.path()+job[:6], job, body, nil)
		t.world.record.add("job %s step %d of %s with %d items: answer %d", job, step, t.model, len(items), status)
		if time.Now().After(until) {
			return
		}
		if status != http.StatusAccepted {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if t.accepted != nil {
		go t.accepted(step)
	}
	after, listed := 0, make(map[string]int)
	for complete := 0; complete < t.wanted && time.Now().Before(due.Add(dueTime)) && time.Now().Before(until.Add(2*time.Second)); {
		status, data := t.call(http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job, after), "", nil, map[string]string{headerWait: "1000"})
		var page struct {
			Next    int `json:"next_token"`
			Results []result
		}
		if status != http.StatusOK || json.Unmarshal(data, &page) != nil {
			t.world.record.add("results of %s after %d: answer %d", job, after, status)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		after = page.Next
		for _, r := range page.Results {
			t.check(job, time.Since(submitted), r)
			if listed[groupOf[r.ID]]++; listed[groupOf[r.ID]] == groupSize {
				complete++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	status, _ := t.call(http.MethodDelete, "/v1/lots/"+job, "", nil, nil)
	t.world.record.add("job %s ended after %d results: answer %d", job, after, status)
}

// call sends a call to a random host on a new connection and returns the status, or 0 if
// there was no complete response.
func (t *trainer) call(method, path, id string, body []byte, header map[string]string) (int, []byte) {
	h := t.world.hosts[t.random.IntN(len(t.world.hosts))]
	return send(h, method, path, id, body, header)
}

var callClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func send(h *host, method, path, id string, body []byte, header map[string]string) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = siteHost
	if id != "" {
		request.Header.Set(headerRequestID, id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// Lengths of items in events, as in the site file: a log-normal distribution, of which a
// part is several times as long.
const (
	meanEvents   = 26.8
	spreadEvents = 0.9
	tailShare    = 0.08
	tailFactor   = 5
	mostEvents   = 192
)

// runEvents returns the number of events of an item, drawn from its ID.
func runEvents(id string) int {
	seed, _ := strconv.ParseUint(id, 16, 64)
	random := rand.New(rand.NewPCG(seed, 5))
	n := meanEvents * math.Exp(spreadEvents*random.NormFloat64()-spreadEvents*spreadEvents/2)
	if random.Float64() < tailShare {
		n *= tailFactor
	}
	return int(min(max(n, 1), mostEvents))
}

// versionsOfText returns the versions under which the events of a text were made.
func versionsOfText(text string) []int64 {
	seen := make(map[int64]bool)
	var versions []int64
	for line := range strings.SplitSeq(text, "\n") {
		_, v, _ := strings.Cut(line, "/v")
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil && !seen[n] {
			seen[n] = true
			versions = append(versions, n)
		}
	}
	return versions
}
