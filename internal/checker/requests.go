package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// checkCompleteness checks P4 for samples, completions and calls to plain services.
func (c *check) checkCompleteness() Verdict {
	v := Verdict{ID: "P4", Text: "a caller gets the whole answer to its own request"}
	for _, d := range c.Load.Deliveries {
		for _, sample := range d.Samples {
			err := engined.VerifyAnswer(d.Model, d.Prompt, sample.Tokens, sample.FinishReason, d.MaxTokens)
			v.record(err == nil, "trainer %s, group %s, sample %s: %v", d.Trainer, d.Group, sample.ID, err)
		}
	}
	for _, a := range c.Load.Attempts {
		if a.Result != load.ResultAnswered {
			if a.Service == "" && a.Text != "" {
				err := engined.VerifyPrefix(a.Model, a.Prompt, a.Seed, engined.SplitTokens(a.Text))
				v.record(err == nil, "request %s, incomplete response: %v", a.RequestID, err)
			}
			continue
		}
		if a.Service != "" {
			err := c.verifyReceipt(a)
			v.record(err == nil, "request %s to service %s: %v", a.RequestID+a.Key, a.Service, err)
			continue
		}
		err := verifyCompletion(a)
		v.record(err == nil, "request %s: %v", a.RequestID, err)
	}
	return v
}

func verifyCompletion(a load.Attempt) error {
	tokens := engined.SplitTokens(a.Text)
	if err := engined.VerifyAnswer(a.Model, a.Prompt, tokens, a.FinishReason, a.MaxTokens); err != nil {
		return err
	}
	if engined.ExtractAnswerTag(tokens) != answerTag(a) {
		return fmt.Errorf("answer %q belongs to another seed", tokens[0])
	}
	return nil
}

func answerTag(a load.Attempt) string { return engined.AnswerTag(a.Model, a.Prompt, a.Seed) }

// verifyReceipt compares the response of a service with the call.
func (c *check) verifyReceipt(a load.Attempt) error {
	var receipt struct {
		Key  string `json:"key"`
		Path string `json:"path"`
	}
	if err := json.Unmarshal([]byte(a.Text), &receipt); err != nil {
		return fmt.Errorf("decode receipt: %w", err)
	}
	if receipt.Key != a.Key || receipt.Path != a.Path {
		return fmt.Errorf("receipt for key %q and path %q does not match the call to path %q", receipt.Key, receipt.Path, a.Path)
	}
	if len(c.callsByID[a.Key+a.RequestID]) == 0 {
		return errors.New("answered, but no service recorded the call")
	}
	return nil
}

// checkNotRun checks P5. A refusal "not run" is a violation if the request ran,
// unless another attempt that had not ended when the refused one started may have
// caused the run.
func (c *check) checkNotRun() Verdict {
	v := Verdict{ID: "P5", Text: `a refusal that says "not run" is true`}
	for _, id := range c.ids {
		for i, a := range c.attemptsByID[id] {
			if a.Result == load.ResultRefused && a.Outcome == "not-run" {
				where, ran := c.refusedAttemptRan(c.attemptsByID[id], i)
				v.record(!ran, "request %s refused by %s as not run (%s), but ran on %s", id, a.Entry, a.Reason, where)
			}
		}
	}
	return v
}

// refusedAttemptRan reports whether the refused attempt, or one that ended before it,
// ran, and on which backend server.
func (c *check) refusedAttemptRan(attempts []load.Attempt, refused int) (where string, ran bool) {
	a := attempts[refused]
	causedByOther := func(ran time.Time) bool {
		for i, other := range attempts {
			if i != refused && other.End.After(a.Start) && !other.Start.After(ran) {
				return true
			}
		}
		return false
	}
	if a.Service != "" {
		for _, call := range c.callsByID[a.Key+a.RequestID] {
			if !causedByOther(call.Time) {
				return call.Server, true
			}
		}
		return "", false
	}
	for _, entry := range c.requestsByTag[answerTag(a)] {
		if !causedByOther(entry.Time) {
			return entry.Engine, true
		}
	}
	return "", false
}

// checkAtMostOnce checks P6 for every idempotency key that a caller sent or a
// service received.
func (c *check) checkAtMostOnce() Verdict {
	v := Verdict{ID: "P6", Text: "a non-idempotent request runs at most once"}
	sent := make(map[string]bool)
	for _, a := range c.Load.Attempts {
		if a.Key != "" {
			sent[a.Key] = true
		}
	}
	for _, call := range c.Services {
		if call.Key != "" {
			sent[call.Key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(sent)) {
		v.record(len(c.callsByID[key]) <= 1, "key %s ran %d times", key, len(c.callsByID[key]))
	}
	return v
}
