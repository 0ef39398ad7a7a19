package chaos

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"

	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/history"
)

// The dimensions of the page in SVG units, and the maximum numbers of ticks and bars in a chart.
const (
	pageWidth, laneLeft    = 1400, 90
	laneHeight, bandHeight = 22, 14
	topHeight, chartHeight = 30, 90
	mostTicks, mostBars    = 20, 350
)

// phaseColours maps each phase of a router to its fill colour.
var phaseColours = map[string]string{"starting": "#d0d0d0", "listing": "#f3d9a4", "withheld": "#f3d9a4", "serving": "#b7dfb9", "draining": "#cfc3e8",
	"leaving": "#f0b8a0", "finishing": "#e59a8a", "stopped": "#ffffff"}

// howColours has the colour of each request outcome, from best to worst.
var howColours = []struct {
	how    history.How
	colour string
}{{history.Complete, "#4c9f70"}, {history.Refused, "#e0b84c"}, {history.Left, "#b0b0b0"}, {history.Broken, "#d9822b"}, {history.Failed, "#c0504d"},
	{history.Interrupted, "#a0307d"}, {history.Unreached, "#6f6fa8"}, {history.None, "#000000"}}

// page draws a history as an HTML page. It keeps the first error of writing.
type page struct {
	w   io.Writer
	end int64
	err error
}

func (p *page) put(format string, v ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", v...)
	}
}

func (p *page) x(t int64) float64 {
	return laneLeft + float64(t)/float64(max(p.end, 1))*float64(pageWidth-laneLeft-10)
}

// WritePage writes an HTML page with a lane of phases for each router, a band for each fault, a
// chart of request outcomes over time, and the verdicts. The page loads nothing from the network.
func WritePage(w io.Writer, events []history.Event, verdicts []checker.Violation) error {
	if len(events) == 0 || events[0].Play == nil {
		return fmt.Errorf("the first event of the history is not a begin event that describes the play")
	}
	p := &page{w: w}
	for i := range events {
		p.end = max(p.end, events[i].T)
	}
	c := checker.NewCase(events)
	about := events[0].Play
	bands := 0
	for _, f := range c.Faults {
		if f.N < firstStallNumber {
			bands++
		}
	}
	height := topHeight + about.Routers*laneHeight + 10 + bands*bandHeight + 20 + chartHeight + 40
	p.put(`<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>%s, seed %d</title>
<style>body{font:14px system-ui,sans-serif;margin:24px;color:#222}svg text{font:11px system-ui,sans-serif}pre{background:#f6f6f6;padding:8px;overflow:auto}
.key span{display:inline-block;margin-right:14px}.key i{display:inline-block;width:12px;height:12px;margin-right:4px;vertical-align:-1px}</style></head><body>`,
		html.EscapeString(about.Name), about.Seed)
	p.put(`<h1>%s, seed %d</h1><p>%d routers, %d hosts, %d requests, %d faults, %s.</p>`, html.EscapeString(about.Name), about.Seed, about.Routers, about.Hosts,
		count(events, history.Ask), bands, found(verdicts))
	p.key()
	p.put(`<svg viewBox="0 0 %d %d" width="100%%" role="img">`, pageWidth, height)
	p.ticks(height)
	y := p.lanes(events, about.Routers, topHeight)
	y = p.faults(c, y+10)
	p.answers(c, events, y+20)
	for i := range verdicts {
		x := p.x(verdicts[i].T)
		p.put(`<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#c00" stroke-width="1.2"><title>%s</title></line>`, x, x, topHeight-6, height-40, html.EscapeString(verdicts[i].String()))
	}
	p.put(`</svg>`)
	if len(verdicts) > 0 {
		p.put(`<h2>Found</h2><ul>`)
		for i := range verdicts {
			p.put(`<li>%s</li>`, html.EscapeString(verdicts[i].String()))
		}
		p.put(`</ul>`)
	}
	if about.Schedule != "" {
		p.put(`<h2>Schedule</h2><pre>%s</pre>`, html.EscapeString(strings.TrimSpace(about.Schedule)))
	}
	p.put(`</body></html>`)
	return p.err
}

func found(verdicts []checker.Violation) string {
	if len(verdicts) == 0 {
		return "nothing found"
	}
	return fmt.Sprintf("%d verdicts, as red lines", len(verdicts))
}

func count(events []history.Event, what history.What) (n int) {
	for i := range events {
		if events[i].What == what {
			n++
		}
	}
	return n
}

func (p *page) key() {
	p.put(`<p class="key">`)
	for _, phase := range []string{"listing", "serving", "draining", "leaving", "finishing"} {
		p.put(`<span><i style="background:%s"></i>%s</span>`, phaseColours[phase], phase)
	}
	p.put(`<span><i style="background:#fff;border:1px solid #999"></i>no process</span> &nbsp; answers: `)
	for _, h := range howColours {
		p.put(`<span><i style="background:%s"></i>%s</span>`, h.colour, h.how)
	}
	p.put(`</p>`)
}

func (p *page) ticks(height int) {
	second := int64(1e9)
	step := second
	for _, s := range []int64{1, 2, 5, 10, 30, 60, 120, 300, 600} {
		if step = s * second; p.end/step <= mostTicks {
			break
		}
	}
	for t := int64(0); t <= p.end; t += step {
		p.put(`<line x1="%.1f" x2="%.1f" y1="18" y2="%d" stroke="#eee"/><text x="%.1f" y="14" fill="#666" text-anchor="middle">%d s</text>`,
			p.x(t), p.x(t), height-30, p.x(t), t/second)
	}
}

// lanes draws a lane for each router with the phases of its processes. Where two processes run at
// the same time, it draws one above the other.
func (p *page) lanes(events []history.Event, routers, y int) int {
	type stretch struct {
		from  int64
		phase string
	}
	now := map[string]stretch{}
	lane := func(who string) (int, bool) {
		n := checker.NumberOf(who)
		return y + n*laneHeight, n >= 0 && n < routers && who[0] == 'r'
	}
	endStretch := func(who string, t int64) {
		s, ok := now[who]
		at, lies := lane(who)
		if !ok || !lies {
			return
		}
		h, down := laneHeight-6, 0
		if strings.Contains(who, "/") { // a later process is in the lower half while both run
			if _, both := now[strings.SplitN(who, "/", 2)[0]]; both {
				h, down = h/2, h/2
			}
		}
		p.put(`<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"><title>%s %s</title></rect>`, p.x(s.from), at+down, max(p.x(t)-p.x(s.from), 0.6), h,
			phaseColours[s.phase], html.EscapeString(who), s.phase)
	}
	for n := range routers {
		p.put(`<text x="4" y="%d">r%d</text><rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#ddd"/>`, y+n*laneHeight+12, n, laneLeft, y+n*laneHeight,
			pageWidth-laneLeft-10, laneHeight-6)
	}
	for i := range events {
		e := &events[i]
		switch e.What {
		case history.Start:
			now[e.Who] = stretch{e.T, "starting"}
		case history.Phase:
			endStretch(e.Who, e.T)
			now[e.Who] = stretch{e.T, e.Text}
		case history.Exit:
			endStretch(e.Who, e.T)
			delete(now, e.Who)
		case history.Unresponsive:
			if at, ok := lane(e.Who); ok {
				p.put(`<text x="%.1f" y="%d" fill="#c00">&#x26a0;<title>%s</title></text>`, p.x(e.T), at+12, html.EscapeString(e.Text))
			}
		}
	}
	left := make([]string, 0, len(now))
	for who := range now {
		left = append(left, who)
	}
	slices.Sort(left)
	for _, who := range left {
		endStretch(who, p.end)
	}
	return y + routers*laneHeight
}

// faults draws a band for each fault. It draws each stall of the machine as a grey line across all
// lanes.
func (p *page) faults(c *checker.Case, y int) int {
	for _, f := range c.Faults {
		if f.N >= firstStallNumber {
			p.put(`<line x1="%.1f" x2="%.1f" y1="20" y2="%d" stroke="#888" stroke-dasharray="2,2"><title>the machine stalled</title></line>`, p.x(f.From), p.x(f.From), y)
			continue
		}
		var whom []string
		for _, n := range f.Routers {
			whom = append(whom, fmt.Sprint("r", n))
		}
		for _, n := range f.Hosts {
			whom = append(whom, fmt.Sprint("h", n))
		}
		text := strings.TrimSpace(f.Kind + " " + strings.Join(whom, " ") + " " + strings.Join(f.Links, " "))
		if len(text) > 60 {
			text = text[:60] + "..."
		}
		p.put(`<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#8aa5c9" opacity="0.8"><title>%s</title></rect><text x="%.1f" y="%d" fill="#333">%s</text>`,
			p.x(f.From), y, max(p.x(f.To)-p.x(f.From), 2), bandHeight-3, html.EscapeString(text), min(p.x(f.To)+4, pageWidth-300), y+10, html.EscapeString(text))
		y += bandHeight
	}
	return y
}

// answers draws a bar for each interval of time, with the outcomes of the requests sent in it.
func (p *page) answers(c *checker.Case, events []history.Event, y int) {
	bars := make([]map[history.How]int, mostBars)
	at := func(t int64) int { return min(int(float64(t)/float64(max(p.end, 1))*mostBars), mostBars-1) }
	asked := map[string]int64{}
	most := 1
	for i := range events {
		switch e := &events[i]; e.What {
		case history.Ask:
			asked[e.ID] = e.T
		case history.Answer:
			n := at(asked[e.ID])
			if bars[n] == nil {
				bars[n] = map[history.How]int{}
			}
			bars[n][e.How]++
			sum := 0
			for _, v := range bars[n] {
				sum += v
			}
			most = max(most, sum)
		}
	}
	p.put(`<text x="4" y="%d">answers</text><text x="4" y="%d" fill="#666">by when asked</text>`, y+14, y+28)
	width := float64(pageWidth-laneLeft-10) / mostBars
	for n, bar := range bars {
		bottom := float64(y + chartHeight)
		for _, h := range howColours {
			v := bar[h.how]
			if v == 0 {
				continue
			}
			high := float64(v) / float64(most) * chartHeight
			bottom -= high
			p.put(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%d %s</title></rect>`, laneLeft+float64(n)*width, bottom, max(width-0.4, 0.5), high, h.colour, v, h.how)
		}
	}
}
