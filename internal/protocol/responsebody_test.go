package protocol

import "testing"

func TestChunkLines(t *testing.T) {
	for text, want := range map[string]int64{
		"0\r\n": 0, "1a\r\n": 26, "1A \t\r\n": 26, "00ff\r\n": 255, "5;a=b\r\n": 5, "5 ; a=\"b\"\r\n": 5, "7fffffffffffffff\r\n": 1<<63 - 1,
	} {
		if got, err := ParseChunkLine([]byte(text)); got != want || err != nil {
			t.Errorf("%q: got %d, %v; want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"\r\n", "5\n", "5\r\r\n", " 5\r\n", "5 5\r\n", "g\r\n", "+5\r\n", "-5\r\n", "0x5\r\n", "5_5\r\n", ";a\r\n", "8000000000000000\r\n", "5;\x00\r\n"} {
		if got, err := ParseChunkLine([]byte(text)); err == nil {
			t.Errorf("%q: got %d, want an error", text, got)
		}
	}
}

func TestTrailerLines(t *testing.T) {
	for text, want := range map[string]bool{"\r\n": true, "X: y\r\n": false, "X:\r\n": false, "Digest: a b\t\xfc\r\n": false} {
		if last, err := CheckTrailerLine([]byte(text)); last != want || err != nil {
			t.Errorf("%q: got %v, %v; want %v", text, last, err, want)
		}
	}
	for _, text := range []string{"\n", "X: y\n", "X Y: z\r\n", "X : z\r\n", " X: y\r\n", "X\r\n", ": y\r\n", "X: \x00\r\n", "X: y\r\r\n", "content-length: 4\r\n"} {
		if _, err := CheckTrailerLine([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
