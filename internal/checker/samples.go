package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/load"
	"github.com/sesamestand/sesamestand/internal/standin/engined"
)

// checkVersions checks P1 for samples and for completions that name versions.
func (c *check) checkVersions() Verdict {
	v := Verdict{ID: "P1", Text: "every sample names the weight versions that produced it"}
	for _, d := range c.Load.Deliveries {
		for _, sample := range d.Samples {
			err := c.verifyVersions(sample.Tokens, sample.Versions)
			v.record(err == nil, "trainer %s, group %s, sample %s: %v", d.Trainer, d.Group, sample.ID, err)
		}
	}
	for _, a := range c.Load.Attempts {
		if a.Result == load.ResultAnswered && a.Service == "" && len(a.Versions) > 0 {
			err := c.verifyVersions(engined.SplitTokens(a.Text), a.Versions)
			v.record(err == nil, "request %s: %v", a.RequestID, err)
		}
	}
	return v
}

// verifyVersions compares the named versions with the versions that the engines
// recorded. If several engines produced the same token, for example because of a
// hedged request, one of their versions must be named.
func (c *check) verifyVersions(tokens []string, named []int64) error {
	if len(tokens) == 0 || len(named) == 0 {
		return fmt.Errorf("%d tokens with the named versions %v", len(tokens), named)
	}
	tag := engined.ExtractAnswerTag(tokens)
	var possible []int64
	for index := range tokens {
		produced := producingVersions(c.requestsByTag[tag], index)
		if !slices.ContainsFunc(produced, func(v int64) bool { return slices.Contains(named, v) }) {
			return fmt.Errorf("token %d was produced by versions %v, but the named versions are %v", index, produced, named)
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

// producingVersions returns the versions that produced the token at index.
func producingVersions(entries []engined.RequestEntry, index int) (versions []int64) {
	for _, entry := range entries {
		for _, segment := range entry.Segments {
			if segment.From <= index && index < segment.To {
				versions = append(versions, segment.Version)
			}
		}
	}
	return versions
}

// checkStaleness checks P2 against the versions announced before the pull began,
// so that an announcement concurrent with a delivery causes no violation.
func (c *check) checkStaleness() Verdict {
	v := Verdict{ID: "P2", Text: "no sample is over its trainer's staleness bound at delivery"}
	for _, d := range c.Load.Deliveries {
		newest := max(d.NewestVersion, c.announcedBefore(d.Model, d.PullStartedAt))
		for _, sample := range d.Samples {
			stale := sample.Staleness(newest)
			v.record(stale <= d.StalenessBound, "trainer %s, group %s, sample %s: versions %v, newest version %d, staleness bound %d",
				d.Trainer, d.Group, sample.ID, sample.Versions, newest, d.StalenessBound)
		}
	}
	return v
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

// checkDeliveredOnce checks P3: for groups and samples by their IDs and contents,
// for requests of callers by their responses.
func (c *check) checkDeliveredOnce() Verdict {
	v := Verdict{ID: "P3", Text: "every sample, page and order reply is delivered once"}
	deliveredIn := make(map[string]string)
	for _, d := range c.Load.Deliveries {
		where := fmt.Sprintf("trainer %s, group %s", d.Trainer, d.Group)
		v.record(d.Submitted && !d.AlreadyAccepted, "%s: unexpected delivery (submitted=%t, accepted before=%t)", where, d.Submitted, d.AlreadyAccepted)
		// A group is complete, or it was refused and has no samples.
		complete := d.RefusalReason == "" && len(d.Samples) == d.GroupSize || d.RefusalReason != "" && len(d.Samples) == 0
		v.record(complete, "%s: %d samples instead of %d", where, len(d.Samples), d.GroupSize)
		for _, sample := range d.Samples {
			keys := []string{d.Trainer + "\x00id " + sample.ID, d.Trainer + "\x00answer " + engined.ExtractAnswerTag(sample.Tokens)}
			previous := deliveredIn[keys[0]] + deliveredIn[keys[1]]
			v.record(previous == "", "%s: sample %s was already delivered (%s)", where, sample.ID, previous)
			deliveredIn[keys[0]], deliveredIn[keys[1]] = where, where
		}
	}
	for _, t := range c.Load.Trainers {
		for range t.Lost {
			v.record(false, "trainer %s: an accepted group was not delivered within the loss timeout", t.Trainer)
		}
	}
	c.checkAnsweredOnce(&v)
	return v
}

func (c *check) checkAnsweredOnce(v *Verdict) {
	for _, id := range c.ids {
		answers := 0
		for _, a := range c.attemptsByID[id] {
			v.record(a.MisdirectedParts == 0, "request %s: %d parts out of order or of another request", id, a.MisdirectedParts)
			if a.Result == load.ResultAnswered && !a.Replayed {
				answers++
			}
			if a.Last {
				v.record(a.Result != load.ResultBroken, "request %s at %s: neither response nor refusal: %s", id, a.Entry, a.Error)
			}
		}
		v.record(answers <= 1, "request %s: %d responses that are not marked as replayed", id, answers)
	}
}
