package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// versions checks P1 for samples and for completions that name versions.
func (c *check) versions() Verdict {
	p := Verdict{ID: "P1", Text: "every sample names the weight versions that produced it"}
	for _, d := range c.Load.Deliveries {
		for _, sample := range d.Samples {
			err := c.verifyVersions(sample.Tokens, sample.Versions)
			p.fact(err == nil, "trainer %s, group %s, sample %s: %v", d.Trainer, d.Group, sample.ID, err)
		}
	}
	for _, a := range c.Load.Attempts {
		if a.Result == load.ResultAnswered && a.Service == "" && len(a.Versions) > 0 {
			err := c.verifyVersions(engined.SplitTokens(a.Text), a.Versions)
			p.fact(err == nil, "request %s: %v", a.RequestID, err)
		}
	}
	return p
}

// verifyVersions compares named versions with what the engines recorded.
// Several engines may have produced the same token, for example for a hedge;
// one of their versions must then be named.
func (c *check) verifyVersions(tokens []string, named []int64) error {
	if len(tokens) == 0 || len(named) == 0 {
		return fmt.Errorf("%d tokens name the versions %v", len(tokens), named)
	}
	tag := engined.ExtractAnswerTag(tokens)
	var possible []int64
	for index := range tokens {
		produced := producers(c.answers[tag], index)
		if !slices.ContainsFunc(produced, func(v int64) bool { return slices.Contains(named, v) }) {
			return fmt.Errorf("token %d was produced by versions %v, named are %v", index, produced, named)
		}
		possible = append(possible, produced...)
	}
	for _, version := range named {
		if !slices.Contains(possible, version) {
			return fmt.Errorf("named version %d produced none of the tokens", version)
		}
	}
	return nil
}

// producers returns the versions that produced the token at index.
func producers(entries []engined.RequestEntry, index int) (versions []int64) {
	for _, entry := range entries {
		for _, segment := range entry.Segments {
			if segment.From <= index && index < segment.To {
				versions = append(versions, segment.Version)
			}
		}
	}
	return versions
}

// staleness checks P2 against the versions announced before the pull began,
// so that an announcement that crosses a delivery cannot count against it.
func (c *check) staleness() Verdict {
	p := Verdict{ID: "P2", Text: "no sample is over its trainer's staleness bound at delivery"}
	for _, d := range c.Load.Deliveries {
		newest := max(d.NewestVersion, c.announcedBefore(d.Model, d.PullStartedAt))
		for _, sample := range d.Samples {
			stale := sample.Staleness(newest)
			p.fact(stale <= d.StalenessBound, "trainer %s, group %s, sample %s: versions %v at newest %d, bound %d",
				d.Trainer, d.Group, sample.ID, sample.Versions, newest, d.StalenessBound)
		}
	}
	return p
}

func (c *check) announcedBefore(model string, at time.Time) int64 {
	var newest int64
	for _, a := range c.Load.Announcements {
		if a.Model == model && a.At.Before(at) {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

// once checks P3: groups and samples by their IDs and by their content, and
// requests of callers by their answers.
func (c *check) once() Verdict {
	p := Verdict{ID: "P3", Text: "every sample, page and order reply is delivered once"}
	seen := make(map[string]string)
	for _, d := range c.Load.Deliveries {
		where := fmt.Sprintf("trainer %s, group %s", d.Trainer, d.Group)
		p.fact(d.Submitted && !d.AlreadyAccepted, "%s: delivered without being wanted (known %t, delivered before %t)", where, d.Submitted, d.AlreadyAccepted)
		// A group is whole, or refused as a whole with its reason.
		whole := d.RefusalReason == "" && len(d.Samples) == d.GroupSize || d.RefusalReason != "" && len(d.Samples) == 0
		p.fact(whole, "%s: %d samples instead of %d", where, len(d.Samples), d.GroupSize)
		for _, sample := range d.Samples {
			keys := []string{d.Trainer + "\x00id " + sample.ID, d.Trainer + "\x00answer " + engined.ExtractAnswerTag(sample.Tokens)}
			before := seen[keys[0]] + seen[keys[1]]
			p.fact(before == "", "%s: sample %s was delivered before (%s)", where, sample.ID, before)
			seen[keys[0]], seen[keys[1]] = where, where
		}
	}
	for _, t := range c.Load.Trainers {
		for range t.Lost {
			p.fact(false, "trainer %s: an accepted group was not delivered for too long", t.Trainer)
		}
	}
	c.answeredOnce(&p)
	return p
}

func (c *check) answeredOnce(p *Verdict) {
	for _, id := range c.ids {
		answers := 0
		for _, a := range c.attempts[id] {
			p.fact(a.MisdirectedParts == 0, "request %s: %d parts out of order or of another request", id, a.MisdirectedParts)
			if a.Result == load.ResultAnswered && !a.Replayed {
				answers++
			}
			if a.Last {
				p.fact(a.Result != load.ResultBroken, "request %s at %s: neither answer nor refusal: %s", id, a.Entry, a.Error)
			}
		}
		p.fact(answers <= 1, "request %s: %d answers that are not marked as replayed", id, answers)
	}
}
