package shadow

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestCompare(t *testing.T) {
	for _, tt := range []struct {
		name         string
		live, copied Answer
		want         Comparison
	}{
		{"equal", Answer{Text: "Order 7, done.", Finish: "stop", Tokens: 9, CachedTokens: 5}, Answer{Text: "Order 7, done.", Finish: "stop", Tokens: 8, CachedTokens: -1},
			Comparison{Text: Equal, Similarity: 1, SameFinish: true, TokenDelta: -1}},
		{"space and case", Answer{Text: "Order 7, Done."}, Answer{Text: " order 7,\ndone.", Finish: "length"}, Comparison{Text: Spacing, Similarity: 1}},
		{"one word of four", Answer{Text: "a b c d"}, Answer{Text: "a b x d"}, Comparison{Text: Differs, Similarity: 0.75, SameFinish: true}},
		{"one more word", Answer{Text: "a b c"}, Answer{Text: "a b b c"}, Comparison{Text: Differs, Similarity: 0.75, SameFinish: true}},
		{"nothing in common", Answer{Text: "a b"}, Answer{Text: "c d"}, Comparison{Text: Differs, SameFinish: true}},
		{"one is empty", Answer{Text: ""}, Answer{Text: "c d"}, Comparison{Text: Differs, SameFinish: true}},
		{"no spaces", Answer{Text: "港口订单已经完成请核对客户记录然后继续下一步"}, Answer{Text: "港口订单已经完成请核对客户记录然后继续下一页"},
			Comparison{Text: Differs, Similarity: 1 - 1.0/6, SameFinish: true}},
		{"truncated, equal", Answer{Text: "a", Truncated: true, Bytes: 9, Digest: "d"}, Answer{Text: "a", Truncated: true, Bytes: 9, Digest: "d"},
			Comparison{Text: Equal, Similarity: 1, SameFinish: true}},
		{"truncated, different", Answer{Text: "a b", Truncated: true, Bytes: 9, Digest: "d"}, Answer{Text: "a c", Bytes: 9, Digest: "e"},
			Comparison{Text: NotRetained, Similarity: 0.5, Partial: true, SameFinish: true}},
	} {
		got := Compare(tt.live, tt.copied)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: wrong comparison: %s", tt.name, diff)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := Answer{Text: rapid.String().Draw(t, "a")}, Answer{Text: rapid.String().Draw(t, "b")}
		x, y := Compare(a, b), Compare(b, a)
		if x != y || !(x.Similarity >= 0 && x.Similarity <= 1) || Compare(a, a).Text != Equal {
			t.Fatalf("Compare gives %+v and in reverse %+v; want equal results, a similarity from 0 to 1, and a text that equals itself", x, y)
		}
	})
}

func BenchmarkCompare(b *testing.B) {
	text := func(suffix string) (s string) {
		for i := range 200 {
			s += fmt.Sprint("word", i, suffix, " ")
		}
		return s
	}
	live, copied := Answer{Text: text("")}, Answer{Text: text("x")}
	b.ReportAllocs()
	for b.Loop() {
		Compare(live, copied)
	}
}
