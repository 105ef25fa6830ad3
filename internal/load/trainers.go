package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// trainer simulates one trainer. It runs on one goroutine.
type trainer struct {
	driver        *driver
	plan          TrainerPlan
	declared      *declare.Trainer
	hosts         *entryRotation
	entry         string
	epoch         string
	cursor        int64
	groups        map[string]*group // all groups of the run
	steps         map[int][]*group  // current and later steps
	pullStartedAt time.Time         // start of the first pull since the last response
	newestVersion int64             // newest weight version announced before pullStartedAt
	stats         TrainerStats
}

// group is one group of a step.
type group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	step      int
	submitted time.Time // when the system last accepted it; zero if it must be submitted
	accepted  bool
}

type submitBody struct {
	Epoch  string   `json:"epoch"`
	Step   int      `json:"step"`
	Groups []*group `json:"groups"`
}

type submitResponse struct {
	Epoch    string `json:"epoch"`
	Accepted int    `json:"accepted"`
}

type pullBody struct {
	Epoch  string `json:"epoch"`
	Cursor int64  `json:"cursor"`
	WaitMS int64  `json:"wait_ms"`
	Max    int    `json:"max"`
}

type pullResponse struct {
	Epoch  string        `json:"epoch"`
	Groups []pulledGroup `json:"groups"`
}

type pulledGroup struct {
	Seq     int64    `json:"seq"`
	ID      string   `json:"id"`
	Step    int      `json:"step"`
	Samples []Sample `json:"samples"`
	Refused string   `json:"refused"` // reason if the group has no samples
}

func newTrainer(d *driver, plan TrainerPlan) *trainer {
	hosts := newEntryRotation(plan.Entries, d.config.Entries)
	return &trainer{
		driver: d, plan: plan, declared: d.config.Declared.Trainers[plan.Name],
		hosts:  hosts,
		entry:  hosts.pick(),
		groups: make(map[string]*group),
		steps:  make(map[int][]*group),
		stats:  TrainerStats{Trainer: plan.Name},
	}
}

// run trains step after step until ctx is done.
func (t *trainer) run(ctx context.Context) {
	measureFrom := t.driver.started.Add(t.driver.config.WarmUp)
	for step := 1; ctx.Err() == nil; step++ {
		waitStart := time.Now()
		complete := t.collect(ctx, step)
		t.stats.Idle += since(later(waitStart, measureFrom))
		if step == 1 {
			t.stats.FirstStepIdle = t.stats.Idle
		}
		if !complete {
			break
		}
		t.stats.Steps++
		select {
		case <-time.After(t.plan.TrainTime):
		case <-ctx.Done():
		}
		t.announce(ctx)
		delete(t.steps, step)
	}
	t.stats.Total = since(measureFrom)
	t.forEachPending(func(g *group) {
		if !g.submitted.IsZero() {
			t.stats.Outstanding++
		}
	})
	t.driver.recorder.record(func(r *Records) { r.Trainers = append(r.Trainers, t.stats) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// since returns the time since at, or 0 if at is in the future.
func since(at time.Time) time.Duration { return max(0, time.Since(at)) }

// collect submits and pulls groups until the trainer has accepted all groups of the
// step. It returns false if ctx is done first.
func (t *trainer) collect(ctx context.Context, step int) bool {
	for ctx.Err() == nil {
		if !t.submitUpTo(ctx, step+t.plan.StepsAhead, step) {
			continue
		}
		if t.stepComplete(step) {
			return true
		}
		t.pull(ctx)
		t.resubmitLost()
	}
	return false
}

func (t *trainer) stepComplete(step int) bool {
	for _, g := range t.steps[step] {
		if !g.accepted {
			return false
		}
	}
	return true
}

// submitUpTo submits the pending groups of the steps first to last, and creates the
// groups of steps that have none. It reports whether the system accepted all of
// them.
func (t *trainer) submitUpTo(ctx context.Context, last, first int) bool {
	for step := first; step <= last; step++ {
		if t.steps[step] == nil {
			t.makeGroups(step)
		}
		var missing []*group
		for _, g := range t.steps[step] {
			if !g.accepted && g.submitted.IsZero() {
				missing = append(missing, g)
			}
		}
		if len(missing) > 0 && !t.submit(ctx, step, missing) {
			return false
		}
	}
	return true
}

func (t *trainer) makeGroups(step int) {
	for i := 1; i <= t.plan.GroupsPerStep; i++ {
		shared := fmt.Sprintf("%s step %d. ", t.plan.Name, step)
		shared = strings.Repeat(shared, t.plan.PromptBytes/len(shared)+1)
		g := &group{ID: fmt.Sprintf("s%d-g%d", step, i), step: step}
		g.Prompt = fmt.Sprintf("%sgroup %d of run %d", shared, i, t.driver.started.UnixNano())
		t.groups[g.ID] = g
		t.steps[step] = append(t.steps[step], g)
	}
}

func (t *trainer) submit(ctx context.Context, step int, groups []*group) bool {
	var answer submitResponse
	status := t.call(ctx, "groups", submitBody{Epoch: t.epoch, Step: step, Groups: groups}, &answer)
	switch {
	case status == http.StatusConflict:
		t.changeEpoch(answer.Epoch)
		return false
	case status/100 != 2:
		return false
	case t.epoch != "" && answer.Epoch != t.epoch:
		t.changeEpoch(answer.Epoch)
		return false
	}
	t.epoch = answer.Epoch
	now := time.Now()
	t.driver.recorder.record(func(r *Records) {
		for _, g := range groups {
			g.submitted = now
			r.Submissions = append(r.Submissions, Submission{Trainer: t.plan.Name, Epoch: t.epoch, Group: g.ID, At: now})
		}
	})
	return true
}

// changeEpoch resets the cursor for a new coordinator, which has a new epoch. All
// groups that are not accepted yet are submitted again.
func (t *trainer) changeEpoch(epoch string) {
	t.stats.EpochChanges++
	t.epoch, t.cursor, t.pullStartedAt = epoch, 0, time.Time{}
	t.forEachPending(func(g *group) { g.submitted = time.Time{} })
}

// forEachPending calls each for every group of the current and later steps that
// the trainer has not accepted.
func (t *trainer) forEachPending(each func(*group)) {
	for _, groups := range t.steps {
		for _, g := range groups {
			if !g.accepted {
				each(g)
			}
		}
	}
}

func (t *trainer) pull(ctx context.Context) {
	if t.pullStartedAt.IsZero() {
		t.newestVersion = t.driver.recorder.newestVersion(t.declared.Model)
		t.pullStartedAt = time.Now()
	}
	var answer pullResponse
	body := pullBody{Epoch: t.epoch, Cursor: t.cursor, WaitMS: t.plan.PullWait.Milliseconds(), Max: t.plan.PullMax}
	status := t.call(ctx, "pull", body, &answer)
	switch {
	case status == http.StatusConflict:
		t.changeEpoch(answer.Epoch)
	case status/100 == 2 && answer.Epoch == t.epoch:
		for _, pulled := range answer.Groups {
			t.acceptGroup(pulled)
		}
		t.pullStartedAt = time.Time{}
	}
}

// acceptGroup records a delivered group if its sequence number follows the cursor.
// Otherwise it counts the group as redelivered and ignores it.
func (t *trainer) acceptGroup(pulled pulledGroup) {
	if pulled.Seq != t.cursor+1 {
		t.stats.Redelivered++
		return
	}
	t.cursor = pulled.Seq
	delivery := Delivery{
		Trainer: t.plan.Name, Model: t.declared.Model, Epoch: t.epoch, Seq: pulled.Seq, Group: pulled.ID,
		Step: pulled.Step, PullStartedAt: t.pullStartedAt, At: time.Now(), NewestVersion: t.newestVersion, GroupSize: t.declared.GroupSize,
		StalenessBound: t.declared.StalenessBound, Samples: pulled.Samples, RefusalReason: pulled.Refused,
		MaxTokens: lowerLimit(t.declared.MaxTokens, t.driver.modelLimit(t.declared.Model)),
	}
	if g := t.groups[pulled.ID]; g != nil {
		delivery.Submitted, delivery.AlreadyAccepted, delivery.Prompt = true, g.accepted, g.Prompt
		g.accepted = true
	}
	t.driver.recorder.record(func(r *Records) { r.Deliveries = append(r.Deliveries, delivery) })
}

// resubmitLost marks groups for resubmission that the system accepted more than
// LossTimeout ago. The call is idempotent, so this is harmless if the group is
// only delayed.
func (t *trainer) resubmitLost() {
	t.forEachPending(func(g *group) {
		if !g.submitted.IsZero() && time.Since(g.submitted) > t.plan.LossTimeout {
			g.submitted = time.Time{}
			t.stats.Lost++
		}
	})
}

// announce stores a new version in the weight store and announces it to the system.
// It retries both until they succeed or ctx is done.
func (t *trainer) announce(ctx context.Context) {
	version := t.driver.recorder.nextVersion(t.declared.Model, t.driver.versions)
	if t.driver.config.WeightsAddr != "" {
		url := fmt.Sprintf("http://%s/models/%s/versions/%d", t.driver.config.WeightsAddr, t.declared.Model, version)
		for ctx.Err() == nil {
			status, _, err := postJSON(ctx, t.driver.client, url, t.driver.config.WeightsToken, struct{}{})
			if err == nil && status/100 == 2 {
				break
			}
			t.backOff(ctx)
		}
	}
	for ctx.Err() == nil {
		if t.call(ctx, "weights", map[string]int64{"version": version}, nil)/100 == 2 {
			t.driver.recorder.recordAnnouncement(Announcement{Trainer: t.plan.Name, Model: t.declared.Model, Version: version, At: time.Now()})
			return
		}
	}
}

// call sends one request to the trainer's entry host. After a failure it switches
// to the next host, waits for the backoff and returns the status 0.
func (t *trainer) call(ctx context.Context, operation string, body, answer any) int {
	callCtx, cancel := context.WithTimeout(ctx, t.plan.PullWait+callTimeout)
	defer cancel()
	url := "http://" + t.entry + "/v1/trainers/" + t.plan.Name + "/" + operation
	status, data, err := postJSON(callCtx, t.driver.client, url, t.driver.config.TrainerTokens[t.plan.Name], body)
	if err == nil && answer != nil && (status/100 == 2 || status == http.StatusConflict) {
		err = json.Unmarshal(data, answer)
	}
	if err == nil && (status/100 == 2 || status == http.StatusConflict) {
		return status
	}
	if ctx.Err() == nil {
		klog.V(1).InfoS("trainer call failed", "trainer", t.plan.Name, "operation", operation, "entry", t.entry, "status", status, "err", err)
	}
	t.entry = t.hosts.after(t.entry)
	t.backOff(ctx)
	return 0
}

// callTimeout bounds a call, in addition to the wait of a long poll.
const callTimeout = 5 * time.Second

func (t *trainer) backOff(ctx context.Context) {
	select {
	case <-time.After(retryBackoff):
	case <-ctx.Done():
	}
}
