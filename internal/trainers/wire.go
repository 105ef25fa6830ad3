package trainers

import "github.com/sesamestand/sesamestand/internal/core/sample"

// GroupsRequest is the body of POST /v1/trainers/{name}/groups, which submits the
// groups of one training step. Epoch is empty if the trainer does not know an
// epoch yet.
type GroupsRequest struct {
	Epoch  string        `json:"epoch"`
	Step   int64         `json:"step"`
	Groups []GroupPrompt `json:"groups"`
}

// GroupPrompt is a submitted group: its ID and the prompt of its samples.
type GroupPrompt struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
}

// GroupsReply is the response to a GroupsRequest. Accepted is the number of groups
// in the call, including those submitted before.
type GroupsReply struct {
	Epoch    string `json:"epoch"`
	Accepted int    `json:"accepted"`
}

// PullRequest is the body of POST /v1/trainers/{name}/pull. Cursor is the last
// sequence number that the trainer accepted under the epoch.
type PullRequest struct {
	Epoch  string `json:"epoch"`
	Cursor int64  `json:"cursor"`
	WaitMs int64  `json:"wait_ms"`
	Max    int    `json:"max"`
}

// PullReply is the response to a PullRequest. Groups is empty if none became ready
// within the wait.
type PullReply struct {
	Epoch  string  `json:"epoch"`
	Groups []Group `json:"groups"`
}

// Group is a complete group.
type Group struct {
	Seq  int64  `json:"seq"`
	ID   string `json:"id"`
	Step int64  `json:"step"`
	// Unscored reports that scoring failed, so that the samples have no score.
	Unscored bool `json:"unscored,omitempty"`
	// RefusalReason is the reason why no sample of the group can be generated, for
	// example "crashes-backend-servers"; Samples is empty in this case.
	RefusalReason string   `json:"refused,omitempty"`
	Samples       []Sample `json:"samples"`
}

// Sample is one sample of a group with the weight versions that produced it,
// in order of first appearance.
type Sample struct {
	ID           string   `json:"id"`
	Tokens       []string `json:"tokens"`
	Versions     []int64  `json:"versions"`
	Score        *float64 `json:"score,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// WeightsRequest is the body of POST /v1/trainers/{name}/weights.
type WeightsRequest struct {
	Version int64 `json:"version"`
}

// WeightsReply is the response to a WeightsRequest with the newest known version.
type WeightsReply struct {
	Version int64 `json:"version"`
}

// EpochReply is the body of a response with status 409.
type EpochReply struct {
	Epoch string `json:"epoch"`
}

// ScoreRequest is the body of POST /score to a scoring service.
type ScoreRequest struct {
	Group   string     `json:"group"`
	Samples [][]string `json:"samples"`
}

// ScoreReply is the response to a ScoreRequest, with one score per sample.
type ScoreReply struct {
	Scores []float64 `json:"scores"`
}

func wireGroups(delivered []sample.DeliveredGroup) []Group {
	groups := make([]Group, 0, len(delivered))
	for _, d := range delivered {
		g := Group{Seq: d.Seq, ID: d.ID, Step: d.Step, Unscored: d.Unscored, RefusalReason: d.RefusalReason, Samples: []Sample{}}
		for _, s := range d.Samples {
			w := Sample{ID: s.ID, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason}
			if w.Tokens == nil {
				w.Tokens = []string{}
			}
			if s.HasScore {
				w.Score = &s.Score
			}
			g.Samples = append(g.Samples, w)
		}
		groups = append(groups, g)
	}
	return groups
}
