package load

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const openAIStream = `data: {"request_id":"r1","index":0,"weight_version":7,"choices":[{"text":"a ","finish_reason":null}]}

data: {"request_id":"r1","index":1,"weight_version":8,"choices":[{"text":"b.","finish_reason":"stop"}]}

data: [DONE]
`

// Guards against misreading the end of a stream, the order of its events or the
// request they belong to: all latencies and checks of promises depend on these.
func TestReadStream(t *testing.T) {
	cases := []struct {
		name, stream string
		result       Result
		misdirected  int
	}{
		{"complete", openAIStream, ResultAnswered, 0},
		{"truncated", openAIStream[:strings.Index(openAIStream, "\n")+2], ResultBroken, 0},
		{"error event", `data: {"error":{"outcome":"partial","reason":"deadline"}}` + "\n", ResultRefused, 0},
		{"chunk of another request", strings.Replace(openAIStream, "r1", "r2", 1), ResultAnswered, 1},
		{"event of another request", strings.Replace(openAIStream, `"request_id":"r1"`, `"id":"r2"`, 1), ResultAnswered, 1},
		{"index out of order", strings.Replace(openAIStream, `"index":1`, `"index":2`, 1), ResultAnswered, 1},
		{"engine chunks", `data: {"request_id":"r1","index":0,"token":"a","weight_version":7,"finish_reason":"length"}` + "\n", ResultAnswered, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempt := Attempt{RequestID: "r1"}
			attempt.readStream(strings.NewReader(c.stream))
			must.Eq(t, c.result, attempt.Result)
			must.Eq(t, c.misdirected, attempt.MisdirectedParts)
		})
	}
	attempt := Attempt{RequestID: "r1"}
	attempt.readStream(strings.NewReader(openAIStream))
	must.Eq(t, "a b.", attempt.Text)
	must.Eq(t, []int64{7, 8}, attempt.Versions)
	must.Eq(t, "stop", attempt.FinishReason)
}

// Guards against latencies measured from a retry instead of the first attempt,
// against counting replayed responses or requests of the warm-up, and against
// missing samples over the staleness bound.
func TestReport(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	broken := Attempt{Mix: "pages", RequestID: "r1", Start: start, End: start.Add(time.Second), Result: ResultBroken}
	answered := Attempt{Mix: "pages", RequestID: "r1", Start: start.Add(time.Second), End: start.Add(3 * time.Second), Result: ResultAnswered, Last: true}
	warm := Attempt{Mix: "pages", RequestID: "r0", Start: start.Add(-time.Second), End: start.Add(time.Hour), Result: ResultAnswered, Last: true}
	again := answered
	again.End, again.Replayed = start.Add(9*time.Second), true
	delivery := Delivery{Trainer: "captions", NewestVersion: 9, StalenessBound: 1, Samples: []Sample{{ID: "a", Versions: []int64{9, 7}}, {ID: "a", Versions: []int64{8}}}}
	report := newReport(start, time.Minute, Records{
		Attempts:   []Attempt{warm, broken, again, answered},
		Deliveries: []Delivery{delivery},
		Trainers:   []TrainerStats{{Trainer: "captions", Idle: 2 * time.Second, FirstStepIdle: time.Second, Total: 5 * time.Second}},
	})
	must.Eq(t, 2, report.Callers[0].Requests)
	must.Eq(t, 2, report.Callers[0].Answered)
	must.Eq(t, 3000.0, report.Callers[0].Latency.Max)
	trainer := report.Trainers[0]
	must.Eq(t, 0.4, trainer.IdleShare)
	must.Eq(t, 0.25, trainer.SteadyIdleShare)
	must.Eq(t, 1.5, trainer.StalenessMean)
	must.Eq(t, 2, trainer.StalenessP99)
	must.Eq(t, 1, trainer.OverBound)
	must.Eq(t, 1, trainer.Duplicates)
}
