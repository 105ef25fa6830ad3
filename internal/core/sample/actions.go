package sample

// Action is an operation that the driver has to perform: StartSample,
// CancelSample, ScoreGroup or RetryPull.
type Action interface{ action() }

// StartSample requests the generation of a sample. The driver reports progress
// with SetReplica and AppendChunk and calls RecordEnd exactly once.
type StartSample struct {
	Trainer   string
	Group     string
	SampleID  string // unique; serves as the request ID
	Prompt    string
	MaxTokens int
	// MinVersion is the oldest weight version on which the sample may start. On
	// older versions the sample is expected to exceed the staleness bound
	// before it is delivered.
	MinVersion int64
	// Avoid lists the replicas that must not run the sample.
	Avoid []string
	// Priority orders the samples of one trainer; lower values run first.
	Priority int64
	Hedge    bool
}

// CancelSample stops a running sample. RecordEnd is still expected for it.
type CancelSample struct{ SampleID string }

// ScoreGroup requests the scores of a group's samples, given as their tokens.
// The driver calls RecordScores once with the same attempt.
type ScoreGroup struct {
	Trainer string
	Group   string
	Attempt int64
	Samples [][]string
}

// RetryPull requests that a pull of the trainer that is waiting for groups be
// tried again.
type RetryPull struct{ Trainer string }

func (StartSample) action()  {}
func (CancelSample) action() {}
func (ScoreGroup) action()   {}
func (RetryPull) action()    {}

// Counts holds a trainer's totals since the coordinator was created. Started to
// Evicted count samples, Refused to Redelivered count groups.
type Counts struct {
	Started, Hedged, Cancelled, Failed, Stale, Evicted, Refused int64
	Delivered, Redelivered, Epochs                              int64
}
