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
	// maxComparedWords bounds what the similarity is taken over; its cost grows with the square.
	maxComparedWords = 1000
	// maxWordLength is cut into pieces of pieceLen: scripts without spaces would otherwise be one
	// word.
	maxWordLength, splitLength = 16, 4
)

// Text says how two answers' texts compare.
type Text string

// The ways.
const (
	Equal       Text = "equal"
	Spacing     Text = "equal but for space and case"
	Differs     Text = "differs"
	NotRetained Text = "not kept" // one was longer than what is kept, and the rest can't tell
)

// Answer is what is known of one side's answer. Times count from when its request was taken in;
// those that are not known are negative, as are tokens.
type Answer struct {
	Text         string // as far as it was kept
	Truncated    bool   // more came than was kept
	Bytes        int64  // of the whole stream
	Digest       string // of the whole stream
	Finish       string // the reason that it gives for its end
	Tokens       int
	CachedTokens int           // prompt tokens that the host still held
	Wait         time.Duration // until the attempt that answered was sent: the host's own time begins there
	First        time.Duration
	Between      time.Duration // mean time between tokens
	Total        time.Duration
	Host         string
	Schedules    int // attempts that it took
}

// Comparison is how a copy's answer compares with the live one.
type Comparison struct {
	Text         Text
	Similarity   float64 // of the texts, from 0 to 1: 1 less the share of words to be changed
	Partial      bool    // only the first words were looked at
	Finish       bool    // both ended for the same reason
	Tokens       int     // more than the live answer has, 0 if either is unknown
	CachedTokens int     // likewise
}

// Compare compares two whole answers.
func Compare(live, copied Answer) Comparison {
	c := Comparison{Finish: live.Finish == copied.Finish}
	if live.Tokens >= 0 && copied.Tokens >= 0 {
		c.Tokens = copied.Tokens - live.Tokens
	}
	if live.CachedTokens >= 0 && copied.CachedTokens >= 0 {
		c.CachedTokens = copied.CachedTokens - live.CachedTokens
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
	case plain(live.Text) == plain(copied.Text):
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

// plain folds the case and drops all space.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsSpace(r) {
			return -1
		}
		return unicode.ToLower(r)
	}, s)
}

// similarity is 1 less the edit distance between the two texts' words, as a share of the longer
// one's. By words it costs a hundredth of what it does by letters, and one reworded sentence counts
// alike wherever it stands.
func similarity(a, b string) (share float64, truncated bool) {
	names := map[string]rune{}
	x, truncatedA := spell(a, names)
	y, truncatedB := spell(b, names)
	longest := max(len([]rune(x)), len([]rune(y)))
	if longest == 0 {
		return 1, truncatedA || truncatedB
	}
	share = 1 - float64(levenshtein.ComputeDistance(x, y))/float64(longest)
	return math.Max(share, 0), truncatedA || truncatedB
}

// spell writes each distinct word as one letter.
func spell(text string, names map[string]rune) (spelled string, truncated bool) {
	var out []rune
	add := func(w string) {
		r, ok := names[w]
		if !ok {
			r = rune(0x10000 + len(names)) // past all that is reserved
			names[w] = r
		}
		out = append(out, r)
	}
	for w := range strings.FieldsFuncSeq(strings.ToLower(text), unicode.IsSpace) {
		characters := []rune(w)
		length := len(characters)
		if length > maxWordLength {
			length = splitLength
		}
		for part := range slices.Chunk(characters, length) {
			if len(out) >= maxComparedWords {
				return string(out), true
			}
			add(string(part))
		}
	}
	return string(out), false
}
