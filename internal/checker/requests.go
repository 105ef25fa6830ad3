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

// whole checks P4 for samples, completions and calls to plain services.
func (c *check) whole() Promise {
	p := Promise{ID: "P4", Text: "a caller gets the whole answer to its own request"}
	for _, d := range c.Load.Deliveries {
		for _, sample := range d.Samples {
			err := engined.VerifyAnswer(d.Model, d.Prompt, sample.Tokens, sample.FinishReason, d.MaxTokens)
			p.fact(err == nil, "trainer %s, group %s, sample %s: %v", d.Trainer, d.Group, sample.ID, err)
		}
	}
	for _, a := range c.Load.Attempts {
		if a.Result != load.ResultAnswered {
			continue
		}
		if a.Key != "" {
			err := c.verifyReceipt(a)
			p.fact(err == nil, "key %s: %v", a.Key, err)
			continue
		}
		err := verifyCompletion(a)
		p.fact(err == nil, "request %s: %v", a.RequestID, err)
	}
	return p
}

func verifyCompletion(a load.Attempt) error {
	tokens := engined.SplitTokens(a.Text)
	if err := engined.VerifyAnswer(a.Model, a.Prompt, tokens, a.Finish, a.MaxTokens); err != nil {
		return err
	}
	if want := answerTag(a) + ":"; tokens[0][:min(len(want), len(tokens[0]))] != want {
		return fmt.Errorf("answer %q has another seed", tokens[0])
	}
	return nil
}

func answerTag(a load.Attempt) string { return engined.AnswerTag(a.Model, a.Prompt, a.Seed) }

// verifyReceipt compares a service's answer with the call that it answers.
func (c *check) verifyReceipt(a load.Attempt) error {
	var receipt struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(a.Text), &receipt); err != nil {
		return fmt.Errorf("decode receipt: %w", err)
	}
	if receipt.Key != a.Key {
		return fmt.Errorf("receipt is for key %q", receipt.Key)
	}
	if len(c.calls[a.Key]) == 0 {
		return errors.New("answered, but no service ran it")
	}
	return nil
}

// notRun checks P5. A refusal "not run" is broken when the request had run
// before, or ran later without having been sent again.
func (c *check) notRun() Promise {
	p := Promise{ID: "P5", Text: `a refusal that says "not run" is true`}
	for _, id := range c.ids {
		for _, a := range c.attempts[id] {
			if a.Result != load.ResultRefused || a.Outcome != "not-run" {
				continue
			}
			until := nextStart(c.attempts[id], a.End)
			ran, where := c.ranBefore(a, until)
			p.fact(!ran, "request %s refused at %s as not run (%s), but ran on %s", id, a.Entry, a.Reason, where)
		}
	}
	return p
}

// nextStart returns the start of the first attempt after at, or zero.
func nextStart(attempts []load.Attempt, at time.Time) time.Time {
	var next time.Time
	for _, a := range attempts {
		if !a.Start.Before(at) && (next.IsZero() || a.Start.Before(next)) {
			next = a.Start
		}
	}
	return next
}

// ranBefore tells whether the request ran, before until when that is set.
func (c *check) ranBefore(a load.Attempt, until time.Time) (ran bool, where string) {
	if a.Key != "" {
		for _, call := range c.calls[a.Key] {
			if until.IsZero() || call.Time.Before(until) {
				return true, call.Server
			}
		}
		return false, ""
	}
	for _, entry := range c.answers[answerTag(a)] {
		if until.IsZero() || entry.Time.Before(until) {
			return true, entry.Engine
		}
	}
	return false, ""
}

// atMostOnce checks P6 for every key that any service saw or a caller sent.
func (c *check) atMostOnce() Promise {
	p := Promise{ID: "P6", Text: "a non-idempotent request runs at most once"}
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
		p.fact(len(c.calls[key]) <= 1, "key %s ran %d times", key, len(c.calls[key]))
	}
	return p
}
