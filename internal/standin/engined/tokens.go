package engined

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// endMark closes the last token of an answer that stopped by itself. All
// other tokens end with a space.
const endMark = "."

// Lengths describes how long answers are. The length of an answer is a
// function of its model, prompt and seed.
type Lengths struct {
	Mean            int     `json:"mean"`             // tokens; answers lie between half and one and a half of it
	StragglerShare  float64 `json:"straggler_share"`  // share of answers that are longer
	StragglerFactor float64 `json:"straggler_factor"` // how much longer they are
}

// Length returns the number of tokens of an answer before any limit.
func (l Lengths) Length(model, prompt string, seed int64) int {
	hash := xxhash.Sum64String(fmt.Sprintf("length\x00%s\x00%s\x00%d", model, prompt, seed))
	length := l.Mean/2 + int(hash%uint64(l.Mean+1))
	if float64(hash>>32%10000)/10000 < l.StragglerShare {
		length = int(float64(length) * l.StragglerFactor)
	}
	return max(1, length)
}

// PromptTag identifies a model and prompt in tokens and journals.
func PromptTag(model, prompt string) string {
	return fmt.Sprintf("%012x", xxhash.Sum64String(model+"\x00"+prompt)&(1<<48-1))
}

// AnswerTag identifies the answer to a model, prompt and seed. Every token of
// the answer begins with it.
func AnswerTag(model, prompt string, seed int64) string {
	return fmt.Sprintf("%s-%08x", PromptTag(model, prompt), uint32(xxhash.Sum64String(fmt.Sprint("seed", seed))))
}

func token(tag string, index int, last bool) string {
	if last {
		return fmt.Sprintf("%s:%d%s", tag, index, endMark)
	}
	return fmt.Sprintf("%s:%d ", tag, index)
}

// ExpectedTokens returns the whole answer and its finish reason. A maxTokens
// of 0 is no limit.
func ExpectedTokens(model, prompt string, seed int64, lengths Lengths, maxTokens int) (tokens []string, finish string) {
	tag := AnswerTag(model, prompt, seed)
	length, finish := limited(lengths.Length(model, prompt, seed), maxTokens)
	for i := range length {
		tokens = append(tokens, token(tag, i, finish == FinishStop && i == length-1))
	}
	return tokens, finish
}

func limited(length, maxTokens int) (int, string) {
	if maxTokens > 0 && length > maxTokens {
		return maxTokens, FinishLength
	}
	return length, FinishStop
}

// SplitTokens splits the text of an answer into tokens again.
func SplitTokens(text string) []string {
	var tokens []string
	for len(text) > 0 {
		end := strings.IndexAny(text, " "+endMark)
		if end < 0 {
			return append(tokens, text)
		}
		tokens = append(tokens, text[:end+1])
		text = text[end+1:]
	}
	return tokens
}

// VerifyAnswer reports an error unless tokens are one whole answer to the
// model and prompt, whatever its seed: all tokens of one answer, each once
// and in order, and an end that agrees with the finish reason.
func VerifyAnswer(model, prompt string, tokens []string, finish string, maxTokens int) error {
	if len(tokens) == 0 {
		return errors.New("answer has no tokens")
	}
	tag, _, _ := strings.Cut(tokens[0], ":")
	if !strings.HasPrefix(tag, PromptTag(model, prompt)+"-") {
		return fmt.Errorf("answer %q belongs to another prompt", tokens[0])
	}
	for i, got := range tokens {
		last := finish == FinishStop && i == len(tokens)-1
		if want := token(tag, i, last); got != want {
			return fmt.Errorf("token %d is %q instead of %q", i, got, want)
		}
	}
	switch {
	case finish == FinishLength && maxTokens > 0 && len(tokens) != maxTokens:
		return fmt.Errorf("answer stopped for its length at %d tokens instead of %d", len(tokens), maxTokens)
	case finish != FinishStop && finish != FinishLength:
		return fmt.Errorf("finish reason is %q", finish)
	}
	return nil
}
