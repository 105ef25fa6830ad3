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
func (c *check) whole() Verdict {
	p := Verdict{ID: "P4", Text: "a caller gets the whole answer to its own request"}
	for _, d := range c.Load.Deliveries {
		for _, sample := range d.Samples {
			err := engined.VerifyAnswer(d.Model, d.Prompt, sample.Tokens, sample.FinishReason, d.MaxTokens)
			p.fact(err == nil, "trainer %s, group %s, sample %s: %v", d.Trainer, d.Group, sample.ID, err)
		}
	}
	for _, a := range c.Load.Attempts {
		if a.Result != load.ResultAnswered {
			if a.Service == "" && a.Text != "" {
				err := engined.VerifyPrefix(a.Model, a.Prompt, a.Seed, engined.SplitTokens(a.Text))
				p.fact(err == nil, "request %s, cut answer: %v", a.RequestID, err)
			}
			continue
		}
		if a.Service != "" {
			err := c.verifyReceipt(a)
			p.fact(err == nil, "request %s to service %s: %v", a.RequestID+a.Key, a.Service, err)
			continue
		}
		err := verifyCompletion(a)
		p.fact(err == nil, "request %s: %v", a.RequestID, err)
	}
	return p
}

func verifyCompletion(a load.Attempt) error {
	tokens := engined.SplitTokens(a.Text)
	if err := engined.VerifyAnswer(a.Model, a.Prompt, tokens, a.FinishReason, a.MaxTokens); err != nil {
		return err
	}
	if engined.ExtractAnswerTag(tokens) != answerTag(a) {
		return fmt.Errorf("answer %q has another seed", tokens[0])
	}
	return nil
}

func answerTag(a load.Attempt) string { return engined.AnswerTag(a.Model, a.Prompt, a.Seed) }

// verifyReceipt compares a service's answer with the call that it answers.
func (c *check) verifyReceipt(a load.Attempt) error {
	var receipt struct {
		Key  string `json:"key"`
		Path string `json:"path"`
	}
	if err := json.Unmarshal([]byte(a.Text), &receipt); err != nil {
		return fmt.Errorf("decode receipt: %w", err)
	}
	if receipt.Key != a.Key || receipt.Path != a.Path {
		return fmt.Errorf("receipt is for key %q and path %q instead of %q", receipt.Key, receipt.Path, a.Path)
	}
	if len(c.calls[a.Key+a.RequestID]) == 0 {
		return errors.New("answered, but no service ran it")
	}
	return nil
}

// notRun checks P5. A refusal "not run" is broken when the request ran, unless
// another attempt that was not over when this one began can have caused it.
func (c *check) notRun() Verdict {
	p := Verdict{ID: "P5", Text: `a refusal that says "not run" is true`}
	for _, id := range c.ids {
		for i, a := range c.attempts[id] {
			if a.Result == load.ResultRefused && a.Outcome == "not-run" {
				where, ran := c.ranUnder(c.attempts[id], i)
				p.fact(!ran, "request %s refused at %s as not run (%s), but ran on %s", id, a.Entry, a.Reason, where)
			}
		}
	}
	return p
}

// ranUnder tells whether the refused attempt, or one before it, ran, and on
// which backend server.
func (c *check) ranUnder(attempts []load.Attempt, refused int) (where string, ran bool) {
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
		for _, call := range c.calls[a.Key+a.RequestID] {
			if !causedByOther(call.Time) {
				return call.Server, true
			}
		}
		return "", false
	}
	for _, entry := range c.answers[answerTag(a)] {
		if !causedByOther(entry.Time) {
			return entry.Engine, true
		}
	}
	return "", false
}

// atMostOnce checks P6 for every key that any service saw or a caller sent.
func (c *check) atMostOnce() Verdict {
	p := Verdict{ID: "P6", Text: "a non-idempotent request runs at most once"}
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
