package protocol

import (
	"bytes"
	"encoding/json"
)

// Answer is what a stream of events says, joined.
type Answer struct {
	Text   string
	Finish string // the finish_reason, empty if none came
	Tokens int    // completion_tokens, -1 if not said
	Kept   int    // cached_tokens, -1 if not said
}

// ReadAnswer joins the events of a stream, or of what was kept of one. Lines that it can't read are passed over: a
// stream's text is its client's, and no business of the router's beyond what a report can use.
func ReadAnswer(stream []byte) Answer {
	a := Answer{Tokens: -1, Kept: -1}
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
				a.Finish = c.Finish
			}
		}
		if u := event.Usage; u != nil {
			if u.Tokens != nil {
				a.Tokens = *u.Tokens
			}
			if u.Details != nil {
				a.Kept = u.Details.Cached
			}
		}
	}
	a.Text = text.String()
	return a
}
