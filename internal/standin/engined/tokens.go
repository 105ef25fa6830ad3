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

// endMarker ends the last token of an answer with finish reason "stop". All other
// tokens end with a space.
const endMarker = "."

// Lengths is the distribution of answer lengths. The length of one answer is a
// function of its model, prompt and seed.
type Lengths struct {
	Mean            int     `json:"mean"`             // tokens; lengths are uniform between 0.5 and 1.5 times the mean
	StragglerShare  float64 `json:"straggler_share"`  // share of answers that are stragglers, i.e. much longer
	StragglerFactor float64 `json:"straggler_factor"` // length of a straggler relative to its length otherwise
}

// Length returns the number of tokens of an answer, without a token limit.
func (l Lengths) Length(model, prompt string, seed int64) int {
	hash := xxhash.Sum64String(fmt.Sprintf("length\x00%s\x00%s\x00%d", model, prompt, seed))
	length := l.Mean/2 + int(hash%uint64(l.Mean+1))
	if float64(hash>>32%10000)/10000 < l.StragglerShare {
		length = int(float64(length) * l.StragglerFactor)
	}
	return max(1, length)
}

// Tags are short because entry hosts reserve 16 bytes per token and stop samples
// that exceed the reservation.
const (
	promptTagChars = 4
	seedTagChars   = 6
)

// PromptTag returns a tag that identifies a model and prompt in tokens and in
// journals.
func PromptTag(model, prompt string) string {
	return shortHash(promptTagChars, model, prompt)
}

// AnswerTag returns a tag that identifies the answer to a model, prompt and seed.
// Every token of the answer begins with it.
func AnswerTag(model, prompt string, seed int64) string {
	return PromptTag(model, prompt) + shortHash(seedTagChars, model, prompt, strconv.FormatInt(seed, 10))
}

// ExtractAnswerTag returns the answer tag of the first token, or "" if there are
// no tokens.
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

// formatToken returns the token at index of the answer with the given tag. The
// last token ends with endMarker.
func formatToken(tag string, index int, last bool) string {
	text := tag + ":" + strconv.FormatInt(int64(index), 36)
	if last {
		return text + endMarker
	}
	return text + " "
}

// ExpectedTokens returns the complete answer and its finish reason. A maxTokens
// of 0 means no limit.
func ExpectedTokens(model, prompt string, seed int64, lengths Lengths, maxTokens int) (tokens []string, finish string) {
	tag := AnswerTag(model, prompt, seed)
	length, finish := applyLimit(lengths.Length(model, prompt, seed), maxTokens)
	for i := range length {
		tokens = append(tokens, formatToken(tag, i, finish == FinishStop && i == length-1))
	}
	return tokens, finish
}

// applyLimit returns the length of an answer under a token limit, and its finish
// reason.
func applyLimit(length, maxTokens int) (int, string) {
	if maxTokens > 0 && length > maxTokens {
		return maxTokens, FinishLength
	}
	return length, FinishStop
}

// SplitTokens splits the text of an answer into its tokens.
func SplitTokens(text string) []string {
	var tokens []string
	for len(text) > 0 {
		end := strings.IndexAny(text, " "+endMarker)
		if end < 0 {
			return append(tokens, text)
		}
		tokens = append(tokens, text[:end+1])
		text = text[end+1:]
	}
	return tokens
}

// VerifyPrefix returns an error unless tokens are a prefix of the answer to the
// model, prompt and seed, or the complete answer.
func VerifyPrefix(model, prompt string, seed int64, tokens []string) error {
	tag := AnswerTag(model, prompt, seed)
	for i, got := range tokens {
		last := i == len(tokens)-1 && got == formatToken(tag, i, true)
		if want := formatToken(tag, i, last); got != want {
			return fmt.Errorf("token %d is %q, expected %q", i, got, want)
		}
	}
	return nil
}

// VerifyAnswer returns an error unless tokens are one complete answer to the
// model and prompt, for any seed: all tokens of the same answer, each exactly
// once and in order, ending as the finish reason requires.
func VerifyAnswer(model, prompt string, tokens []string, finish string, maxTokens int) error {
	if len(tokens) == 0 {
		return errors.New("answer has no tokens")
	}
	tag := ExtractAnswerTag(tokens)
	if !strings.HasPrefix(tag, PromptTag(model, prompt)) {
		return fmt.Errorf("answer that begins with token %q belongs to another prompt", tokens[0])
	}
	for i, got := range tokens {
		last := finish == FinishStop && i == len(tokens)-1
		if want := formatToken(tag, i, last); got != want {
			return fmt.Errorf("token %d is %q, expected %q", i, got, want)
		}
	}
	switch {
	case finish == FinishLength && maxTokens > 0 && len(tokens) != maxTokens:
		return fmt.Errorf("answer with finish reason \"length\" has %d tokens, expected %d", len(tokens), maxTokens)
	case finish != FinishStop && finish != FinishLength:
		return fmt.Errorf("unknown finish reason %q", finish)
	}
	return nil
}
