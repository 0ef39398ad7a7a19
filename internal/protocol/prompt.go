package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// mostParts bounds the parts of a prompt that are looked at.
const mostParts = 64

// PromptPart is a part of a prompt that may be shared with others.
type PromptPart struct {
	ID     string
	Tokens float64
}

// ParsePrompt reads the parts of a prompt in their order, as Prompt-Prefix lists them. An empty text is a prompt without parts.
func ParsePrompt(text string) ([]PromptPart, error) {
	if text == "" {
		return nil, nil
	}
	var parts []PromptPart
	for one := range strings.SplitSeq(text, ",") {
		if len(parts) == mostParts {
			return nil, fmt.Errorf("%s: more than %d parts", HeaderPromptPrefix, mostParts)
		}
		id, length, ok := strings.Cut(strings.TrimSpace(one), ":")
		tokens, err := strconv.ParseUint(length, 10, 31)
		if !ok || id == "" || err != nil {
			return nil, fmt.Errorf("%s: %q is not of the form id:tokens", HeaderPromptPrefix, one)
		}
		parts = append(parts, PromptPart{id, float64(tokens)})
	}
	return parts, nil
}

// Usage is how many tokens a request brings, and how many it may generate.
type Usage struct{ Prompt, Answer float64 }

// ParseUsage reads Token-Usage. An empty text is no usage.
func ParseUsage(text string) (u Usage, ok bool, err error) {
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
	return Usage{float64(prompt), float64(answer)}, true, nil
}

// ParseDeadline reads a Request-Deadline in milliseconds. An empty text is none.
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

// BearerKey reads the key in an Authorization header, empty for none.
func BearerKey(text string) string {
	scheme, key, ok := strings.Cut(text, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
