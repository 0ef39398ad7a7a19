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
	// maxComparedTokens is the number of tokens of each text that the similarity covers. The cost
	// of computing the similarity grows with the square of this number.
	maxComparedTokens = 1000
	// A word of more than maxTokenLength characters is split into tokens of splitLength characters.
	// Otherwise, a text in a script without spaces would be a single token.
	maxTokenLength, splitLength = 16, 4
)

// TextMatch is the result of comparing the texts of two answers. The values are part of the record
// files.
type TextMatch string

// The values of TextMatch.
const (
	Equal       TextMatch = "equal"
	Spacing     TextMatch = "equal but for space and case"
	Differs     TextMatch = "differs"
	NotRetained TextMatch = "not kept" // a text was not retained completely, and the sizes or the digests differ
)

// Answer describes the live answer or the copy's answer to a request. Queued, FirstByte and Total
// count from the time at which the request was accepted. A duration or token count that is not
// known is negative.
type Answer struct {
	Text          string // the retained beginning of the text
	Truncated     bool   // the stream was longer than its retained beginning
	Bytes         int64  // size of the complete stream
	Digest        string // hash of the complete text, or of the complete stream if Truncated
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

// Comparison is the result of comparing a copy's answer with the live answer.
type Comparison struct {
	Text             TextMatch
	Similarity       float64 // of the texts, from 0 to 1: 1 minus the fraction of the words that must be changed
	Partial          bool    // Similarity covers only the beginning of at least one text
	SameFinish       bool    // both have the same finish reason
	TokenDelta       int     // the copy's token count minus the live answer's; 0 if either is unknown
	CachedTokenDelta int     // the same difference for CachedTokens
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

// foldSpaceAndCase converts s to lower case and removes all white space.
func foldSpaceAndCase(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsSpace(r) {
			return -1
		}
		return unicode.ToLower(r)
	}, s)
}

// similarity returns 1 minus the edit distance between the words of a and b, as a fraction of the
// longer text. It also reports whether a or b was truncated for that. An edit distance over words
// costs a hundredth of one over characters, and a reworded sentence has the same effect anywhere in
// the text.
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

// encodeTokens encodes each distinct word of a text as one rune, so that the edit distance between
// two encoded texts counts words. Both texts must be encoded with the same codes. The result is
// truncated after maxComparedTokens runes.
func encodeTokens(text string, codes map[string]rune) (encoded string, truncated bool) {
	var out []rune
	add := func(w string) {
		r, ok := codes[w]
		if !ok {
			r = rune(0x10000 + len(codes)) // above the basic plane, whose surrogates are not valid runes
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
