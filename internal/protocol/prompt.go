package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxPromptSegments is the maximum number of segments in a prompt.
const maxPromptSegments = 64

// PromptSegment is a segment of a prompt that other prompts may share.
type PromptSegment struct {
	ID     string
	Tokens float64
}

// ParsePrompt parses the value of the header Prompt-Prefix, which lists the segments of a prompt in
// their order. An empty text stands for a prompt without segments.
func ParsePrompt(text string) ([]PromptSegment, error) {
	if text == "" {
		return nil, nil
	}
	var segments []PromptSegment
	for one := range strings.SplitSeq(text, ",") {
		if len(segments) == maxPromptSegments {
			return nil, fmt.Errorf("%s: more than %d parts", HeaderPromptPrefix, maxPromptSegments)
		}
		id, length, ok := strings.Cut(strings.TrimSpace(one), ":")
		tokens, err := strconv.ParseUint(length, 10, 31)
		if !ok || id == "" || err != nil {
			return nil, fmt.Errorf("%s: %q is not of the form id:tokens", HeaderPromptPrefix, one)
		}
		segments = append(segments, PromptSegment{id, float64(tokens)})
	}
	return segments, nil
}

// TokenUsage has the number of tokens of a request's prompt, and the maximum number of its answer.
type TokenUsage struct{ PromptTokens, AnswerTokens float64 }

// ParseUsage parses the value of the header Token-Usage. It returns false for ok if the text is empty.
func ParseUsage(text string) (u TokenUsage, ok bool, err error) {
	if text == "" {
		return u, false, nil
	}
	in, out, both := strings.Cut(text, ",")
	prompt, err := strconv.ParseUint(strings.TrimSpace(in), 10, 31)
	if err != nil || !both {
		return u, false, fmt.Errorf("%s: %q is not of the form prompt,answer", HeaderTokenUsage, text)
	}
	answer, err := strconv.ParseUint(strings.TrimSpace(out), 10, 31)
	if err != nil {
		return u, false, fmt.Errorf("%s: %q is not of the form prompt,answer", HeaderTokenUsage, text)
	}
	return TokenUsage{float64(prompt), float64(answer)}, true, nil
}

// ParseDeadline parses the value of the header Request-Deadline: the time left in milliseconds. It
// returns false for ok if the text is empty.
func ParseDeadline(text string) (left time.Duration, ok bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms < 1e9) {
		return 0, false, fmt.Errorf("%s: %q is not a number of milliseconds", HeaderDeadline, text)
	}
	return time.Duration(ms * float64(time.Millisecond)), true, nil
}

// BearerKey returns the key in an Authorization header of the scheme Bearer. It returns "" for a
// missing key or another scheme.
func BearerKey(text string) string {
	scheme, key, ok := strings.Cut(text, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
