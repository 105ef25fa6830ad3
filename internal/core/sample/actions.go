package sample

// Action is something that the shell has to do: one of Start, Cancel, Score
// and Wake.
type Action interface{ action() }

// StartSample asks for a sample to be generated. The shell answers with Placed,
// Chunk and exactly one Ended.
type StartSample struct {
	Trainer   string
	Group     string
	SampleID  string // unique; serves as the request ID
	Prompt    string
	MaxTokens int
	// MinVersion is the oldest weight version worth starting on.
	MinVersion int64
	// Avoid lists replicas not to use.
	Avoid []string
	// Priority orders the work of one trainer; lower goes first.
	Priority int64
	Hedge    bool
}

// CancelSample ends a sample that runs. Ended is still expected for it.
type CancelSample struct{ SampleID string }

// ScoreGroup asks for the scores of a group's samples. The shell answers with one
// Scored that carries the same attempt.
type ScoreGroup struct {
	Trainer string
	Group   string
	Attempt int64
	Samples [][]string
}

// RetryPull says that a waiting pull of the trainer should be tried again.
type RetryPull struct{ Trainer string }

func (StartSample) action()  {}
func (CancelSample) action() {}
func (ScoreGroup) action()   {}
func (RetryPull) action()    {}

// Counts are totals since the start of the home.
type Counts struct {
	Started, Hedged, Cancelled, Failed, Stale, Evicted, Refused int64
	Delivered, Redelivered, Epochs                              int64
}
