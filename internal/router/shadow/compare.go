package shadow

import (
	"math"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/agnivade/levenshtein"
)

const (
	// maxComparedTokens bounds what the similarity is taken over; its cost grows with the square.
	maxComparedTokens = 1000
	// maxTokenLength is the length in characters from which a word is split into tokens of
	// splitLength: a text of a script without spaces would otherwise be one word.
	maxTokenLength, splitLength = 16, 4
)

// TextMatch says how two answers' texts compare. Its values are part of the record files.
type TextMatch string

// The values of TextMatch.
const (
	Equal       TextMatch = "equal"
	Spacing     TextMatch = "equal but for space and case"
	Differs     TextMatch = "differs"
	NotRetained TextMatch = "not kept" // one was longer than what is retained, and size and digest differ
)

// Answer is what is known of one side's answer. Times count from when its request was accepted;
// those that are not known are negative, as are unknown token counts.
type Answer struct {
	Text          string // the beginning that was retained
	Truncated     bool   // more came than was retained
	Bytes         int64  // of the complete stream
	Digest        string // of the complete stream
	Finish        string // the finish reason that the host gave
	Tokens        int
	CachedTokens  int           // prompt tokens that the host had in its prefix cache
	Queued        time.Duration // until the attempt that answered was sent
	FirstByte     time.Duration
	TokenInterval time.Duration // mean time between tokens
	Total         time.Duration
	Host          string
	Attempts      int
}

// Comparison is how a copy's answer compares with the live one.
type Comparison struct {
	Text             TextMatch
	Similarity       float64 // of the texts, from 0 to 1: 1 less the fraction of words to be changed
	Partial          bool    // Similarity covers only the beginning of a text
	SameFinish       bool    // both have the same finish reason
	TokenDelta       int     // the copy's tokens less the live answer's, 0 if either is unknown
	CachedTokenDelta int     // likewise for the cached tokens
}

// Compare compares two complete answers.
func Compare(live, copied Answer) Comparison {
	c := Comparison{SameFinish: live.Finish == copied.Finish}
	if live.Tokens >= 0 && copied.Tokens >= 0 {
		c.TokenDelta = copied.Tokens - live.Tokens
	}
	if live.CachedTokens >= 0 && copied.CachedTokens >= 0 {
		c.CachedTokenDelta = copied.CachedTokens - live.CachedTokens
	}
	switch {
	case live.Truncated || copied.Truncated:
		c.Text, c.Partial = NotRetained, true
		if live.Bytes == copied.Bytes && live.Digest == copied.Digest {
			c.Text, c.Similarity, c.Partial = Equal, 1, false
			return c
		}
	case live.Text == copied.Text:
		c.Text, c.Similarity = Equal, 1
		return c
	case foldSpaceAndCase(live.Text) == foldSpaceAndCase(copied.Text):
		c.Text, c.Similarity = Spacing, 1
		return c
	default:
		c.Text = Differs
	}
	var truncated bool
	c.Similarity, truncated = similarity(live.Text, copied.Text)
	c.Partial = c.Partial || truncated
	return c
}

// foldSpaceAndCase converts to lower case and drops all space.
func foldSpaceAndCase(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsSpace(r) {
			return -1
		}
		return unicode.ToLower(r)
	}, s)
}

// similarity is 1 less the edit distance between the two texts' words, as a fraction of the longer
// text. By words it costs a hundredth of what it costs by characters, and one reworded sentence
// counts alike wherever it stands.
func similarity(a, b string) (fraction float64, truncated bool) {
	codes := map[string]rune{}
	x, truncatedA := encodeTokens(a, codes)
	y, truncatedB := encodeTokens(b, codes)
	longest := max(len([]rune(x)), len([]rune(y)))
	if longest == 0 {
		return 1, truncatedA || truncatedB
	}
	fraction = 1 - float64(levenshtein.ComputeDistance(x, y))/float64(longest)
	return math.Max(fraction, 0), truncatedA || truncatedB
}

// encodeTokens maps each distinct word to one rune, so that the edit distance between strings
// counts words. Both texts share names. The result is truncated after maxComparedTokens.
func encodeTokens(text string, codes map[string]rune) (encoded string, truncated bool) {
	var out []rune
	add := func(w string) {
		r, ok := codes[w]
		if !ok {
			r = rune(0x10000 + len(codes)) // beyond the reserved runes of the basic plane
			codes[w] = r
		}
		out = append(out, r)
	}
	for w := range strings.FieldsFuncSeq(strings.ToLower(text), unicode.IsSpace) {
		characters := []rune(w)
		length := len(characters)
		if length > maxTokenLength {
			length = splitLength
		}
		for part := range slices.Chunk(characters, length) {
			if len(out) >= maxComparedTokens {
				return string(out), true
			}
			add(string(part))
		}
	}
	return string(out), false
}
