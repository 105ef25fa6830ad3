package engined

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
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

// Tags are short, because entry hosts reserve 16 bytes per token and stop
// samples that take more.
const (
	promptTagChars = 4
	seedTagChars   = 6
)

// PromptTag identifies a model and prompt in tokens and journals.
func PromptTag(model, prompt string) string {
	return shortHash(promptTagChars, model, prompt)
}

// AnswerTag identifies the answer to a model, prompt and seed. Every token of
// the answer begins with it.
func AnswerTag(model, prompt string, seed int64) string {
	return PromptTag(model, prompt) + shortHash(seedTagChars, model, prompt, strconv.FormatInt(seed, 10))
}

// ExtractAnswerTag returns the answer tag of the first of tokens, or "" without tokens.
func ExtractAnswerTag(tokens []string) string {
	if len(tokens) == 0 {
		return ""
	}
	tag, _, _ := strings.Cut(tokens[0], ":")
	return tag
}

func shortHash(chars int, parts ...string) string {
	sum := xxhash.Sum64String(strings.Join(parts, "\x00"))
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, sum))[:chars]
}

func token(tag string, index int, last bool) string {
	text := tag + ":" + strconv.FormatInt(int64(index), 36)
	if last {
		return text + endMark
	}
	return text + " "
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

// VerifyPrefix reports an error unless tokens are the beginning of the answer to
// the model, prompt and seed, whole or not.
func VerifyPrefix(model, prompt string, seed int64, tokens []string) error {
	tag := AnswerTag(model, prompt, seed)
	for i, got := range tokens {
		last := i == len(tokens)-1 && got == token(tag, i, true)
		if want := token(tag, i, last); got != want {
			return fmt.Errorf("token %d is %q instead of %q", i, got, want)
		}
	}
	return nil
}

// VerifyAnswer reports an error unless tokens are one whole answer to the
// model and prompt, whatever its seed: all tokens of one answer, each once
// and in order, and an end that agrees with the finish reason.
func VerifyAnswer(model, prompt string, tokens []string, finish string, maxTokens int) error {
	if len(tokens) == 0 {
		return errors.New("answer has no tokens")
	}
	tag := ExtractAnswerTag(tokens)
	if !strings.HasPrefix(tag, PromptTag(model, prompt)) {
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
