package sample

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures the processing of one training step without the
// driver: 256 groups of 8 samples, 2,048 samples in total, with 100 tokens
// each.
func BenchmarkStep(b *testing.B) {
	for b.Loop() {
		epochs := 0
		c := New(Config{NewEpoch: func() string { epochs++; return fmt.Sprint(epochs) }})
		c.Declare([]Params{{Name: "captions", GroupSize: 8, MaxTokens: 1000, MaxStaleness: 4, Policy: PolicyFor(0.8, 2, 4)}})
		var groups []GroupSpec
		for i := range 256 {
			groups = append(groups, GroupSpec{ID: fmt.Sprintf("s1-g%d", i), Prompt: "prompt"})
		}
		_, epoch := c.Submit(0, "captions", "", 1, groups)
		var now time.Duration
		cursor := int64(0)
		var running []string
		for cursor < 256 {
			now += 50 * time.Millisecond
			for _, a := range c.Run(now) {
				switch a := a.(type) {
				case StartSample:
					running = append(running, a.SampleID)
				case CancelSample:
					c.RecordEnd(now, a.SampleID)
				}
			}
			id := running[0]
			running = running[1:]
			for i := range 100 {
				finish := ""
				if i == 99 {
					finish = "stop"
				}
				c.AppendChunk(now, id, "token", 1, finish)
			}
			c.RecordEnd(now, id)
			_, _, delivered := c.Pull(now, "captions", epoch, cursor, 8)
			cursor += int64(len(delivered))
		}
	}
}
