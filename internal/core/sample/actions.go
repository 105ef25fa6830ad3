package sample

// Action is something that the shell has to do: one of Start, Cancel, Score
// and Wake.
type Action interface{ action() }

// Start asks for a sample to be generated. The shell answers with Placed,
// Chunk and exactly one Ended.
type Start struct {
	Trainer   string
	Group     string
	Sample    string // unique; serves as the request ID
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

// Cancel ends a sample that runs. Ended is still expected for it.
type Cancel struct{ Sample string }

// Score asks for the scores of a group's samples. The shell answers with one
// Scored that carries the same attempt.
type Score struct {
	Trainer string
	Group   string
	Attempt int64
	Samples [][]string
}

// Wake says that a waiting pull of the trainer should be tried again.
type Wake struct{ Trainer string }

func (Start) action()  {}
func (Cancel) action() {}
func (Score) action()  {}
func (Wake) action()   {}

// Counts are totals since the start of the home.
type Counts struct {
	Started, Hedged, Cancelled, Failed, Stale, Evicted, Refused int64
	Delivered, Redelivered, Epochs                              int64
}
