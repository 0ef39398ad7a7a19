package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The parser returns the exact data and finds the exact end of a chunked body, regardless of how the
// body is split and of where another process continues with the parser's JSON form.
func TestChunksSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var body, want []byte
		for _, piece := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 300), 0, 5).Draw(t, "pieces") {
			body = fmt.Appendf(body, rapid.SampledFrom([]string{"%x\r\n", "%X;a=b\r\n", "00%x \t;c=\"d e\"\r\n"}).Draw(t, "size"), len(piece))
			body = append(append(body, piece...), "\r\n"...)
			want = append(want, piece...)
		}
		body = append(body, rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\nA: b\r\nC:\r\nD:\t\xfc: e\r\n\r\n", "000;x\r\n\r\n"}).Draw(t, "end")...)
		rest := append(bytes.Clone(body), "HTTP/1.1 200"...)
		var c ChunkParser
		var got []byte
		read := 0
		for read < len(rest) && c.At != AtComplete {
			n := rapid.IntRange(1, 40).Draw(t, "cut")
			used, err := c.Feed(rest[read:min(read+n, len(rest))], func(p []byte) { got = append(got, p...) })
			if err != nil {
				t.Fatal(err)
			}
			read += used
			text, _ := json.Marshal(c)
			c = ChunkParser{}
			if err := json.Unmarshal(text, &c); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(got, want) || read != len(body) {
			t.Errorf("%q: got %q, want %q; %d bytes of %d", body, got, want, read, len(body))
		}
	})
}

func TestMalformedChunks(t *testing.T) {
	for _, text := range []string{"\r\n", "g\r\n", ";\r\n", "-1\r\n", "1\r\nab\r\n", "fffffffffff\r\n",
		"5\n", "5\r5", "5z\r\n", "5;\x00", "1\r\na\n", "1\r\na\r\r", "0\r\n\n", "0\r\nA: b\n", "0\r\nA: b\r\n\n", "0\r\nA b", "0\r\nA :", "0\r\n A", "0\r\n:", "0\r\nA\r\n",
		"0\r\nA\x00", "0\r\nA: \x00", "0\r\nA: b\rc", "0\r\nA: b\r\n c",
		string(bytes.Repeat([]byte("0"), maxFramingLine+1))} {
		var c ChunkParser
		if _, err := c.Feed([]byte(text), func([]byte) {}); err == nil {
			t.Errorf("%.20q was accepted", text)
		}
	}
}
