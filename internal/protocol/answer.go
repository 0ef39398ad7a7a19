package protocol

import (
	"bytes"
	"encoding/json"
)

// Answer is the content of a streamed answer, joined from the events of its stream.
type Answer struct {
	Text             string
	FinishReason     string // the last finish_reason, empty if there was none
	CompletionTokens int    // completion_tokens, -1 if not given
	CachedTokens     int    // cached_tokens, -1 if not given
}

// ReadAnswer joins the events of a stream, or of the part of a stream that was retained. It skips
// lines that it can't parse.
func ReadAnswer(stream []byte) Answer {
	a := Answer{CompletionTokens: -1, CachedTokens: -1}
	var text bytes.Buffer
	for line := range bytes.Lines(stream) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				Finish string `json:"finish_reason"`
			} `json:"choices"`
			Usage *struct {
				Tokens  *int `json:"completion_tokens"`
				Details *struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if json.Unmarshal(data, &event) != nil {
			continue
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
			if c.Finish != "" {
				a.FinishReason = c.Finish
			}
		}
		if u := event.Usage; u != nil {
			if u.Tokens != nil {
				a.CompletionTokens = *u.Tokens
			}
			if u.Details != nil {
				a.CachedTokens = u.Details.Cached
			}
		}
	}
	a.Text = text.String()
	return a
}
