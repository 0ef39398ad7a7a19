// Package experiment reads experiments from HCL files, runs their simulations in parallel, and
// stores and compares the results. The simulations are those of package simulator; this package
// makes no decisions within them.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"reachspread/balance"
	"reachspread/internal/router/capture"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
	"reachspread/internal/testbed/simulator"
)

// Experiment is a set of simulations, one for each pair of a seed and a variant.
type Experiment struct {
	Name     string
	Seeds    []uint64
	Spec     simulator.Spec // without a seed and before any variant is applied
	Variants []Variant
	Faults   []faults.Fault // in the order of their blocks
	Text     []byte         // content of the file

	Rig Rig // configures runs on processes; has defaults if the file has no such block

	disruptionSources []string // file and line of each trouble block
	captured          string   // path of the capture, relative to the experiment's file; empty for none
}

// Variant is a named change to the Spec of an experiment, such as other settings of the decision
// module or another number of routers.
type Variant struct {
	Name  string
	apply func(*simulator.Spec)
}

// Worlds returns the number of simulations of the experiment.
func (x *Experiment) Worlds() int { return len(x.Seeds) * len(x.Variants) }

// World returns the Spec for one variant and seed, without the faults. The caller may change it.
func (x *Experiment) World(variant int, seed uint64) simulator.Spec {
	s := x.Spec
	s.Groups, s.Classes, s.Disruptions = slices.Clone(s.Groups), slices.Clone(s.Classes), slices.Clone(s.Disruptions)
	s.Seed = seed
	x.Variants[variant].apply(&s)
	return s
}

// Virtual returns the Spec for one variant and seed, with the faults, for a run in virtual time.
func (x *Experiment) Virtual(variant int, seed uint64) simulator.Spec {
	s := x.World(variant, seed)
	s.Faults = x.Faults
	return s
}

const (
	maxSeeds    = 10000
	maxDuration = 24 * time.Hour
)

// Read reads an experiment from a file, and its capture if it names one. The error for an invalid
// file is one line with file, line and field.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	x, err := Parse(text, filepath.Base(path))
	if err != nil || x.captured == "" {
		return x, err
	}
	if !filepath.IsAbs(x.captured) {
		x.captured = filepath.Join(filepath.Dir(path), x.captured)
	}
	x.Spec.Captured, err = Captured(x.captured, &x.Spec)
	return x, err
}

// Parse parses the text of an experiment's file, whose name it uses in errors and for the name of
// the experiment. It does not read the capture.
func Parse(text []byte, name string) (*Experiment, error) {
	f, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		d := diags[0]
		return nil, fmt.Errorf("%s:%d: %s: %s", name, d.Subject.Start.Line, d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))
	}
	x := &Experiment{Rig: defaultRig, Name: strings.TrimSuffix(name, filepath.Ext(name)), Text: text}
	d := &decoder{}
	d.file(x, f.Body.(*hclsyntax.Body))
	if d.err != nil {
		return nil, d.err
	}
	if err := x.Spec.Check(); err != nil {
		return nil, fmt.Errorf("%s:1: %w", name, err)
	}
	return x, nil
}

// decoder decodes blocks by tables of their fields. It keeps the first error.
type decoder struct{ err error }

func (d *decoder) fault(at hcl.Range, field, format string, v ...any) {
	if d.err == nil {
		d.err = fmt.Errorf("%s:%d: %s %s", at.Filename, at.Start.Line, field, fmt.Sprintf(format, v...))
	}
}

// fields holds the fields that a block may have, by name. The function of a field stores a value, or
// returns what is wrong with it.
type fields map[string]func(cty.Value) string

// blocks holds the inner blocks that a block may have, by type, with the functions that decode them.
type blocks map[string]func(*hclsyntax.Block)

func (d *decoder) body(b *hclsyntax.Body, what string, f fields, inner blocks, needed ...string) {
	names := make([]string, 0, len(b.Attributes))
	for name := range b.Attributes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		return b.Attributes[x].SrcRange.Start.Line - b.Attributes[y].SrcRange.Start.Line
	})
	for _, name := range names {
		a := b.Attributes[name]
		take := f[name]
		if take == nil {
			d.fault(a.SrcRange, name, "is not a field of %s", what)
			continue
		}
		v, diags := a.Expr.Value(nil)
		if diags.HasErrors() {
			d.fault(a.SrcRange, name, "has no value: %s", diags[0].Detail)
			continue
		}
		if wrong := take(v); wrong != "" {
			d.fault(a.SrcRange, name, "%s", wrong)
		}
	}
	for _, name := range needed {
		if b.Attributes[name] == nil {
			d.fault(b.SrcRange, name, "is missing from %s", what)
		}
	}
	for _, in := range b.Blocks {
		take := inner[in.Type]
		if take == nil {
			d.fault(in.TypeRange, in.Type, "is not a block of %s", what)
			continue
		}
		take(in)
	}
}

// label returns the label of a block, which must have exactly one.
func (d *decoder) label(b *hclsyntax.Block) string {
	if len(b.Labels) != 1 || b.Labels[0] == "" {
		d.fault(b.TypeRange, b.Type, "needs exactly one label, which is its name")
		return ""
	}
	return b.Labels[0]
}

func number(v cty.Value) (float64, bool) {
	if v.IsNull() || !v.IsKnown() || v.Type() != cty.Number {
		return 0, false
	}
	x, _ := v.AsBigFloat().Float64()
	return x, true
}

func num(to *float64, least, most float64) func(cty.Value) string {
	return func(v cty.Value) string {
		x, ok := number(v)
		if !ok || !(x >= least && x <= most) {
			return fmt.Sprintf("must be a number from %v to %v", least, most)
		}
		*to = x
		return ""
	}
}

func integer(to *int, least, most int) func(cty.Value) string {
	return func(v cty.Value) string {
		x, ok := number(v)
		if !ok || x != float64(int(x)) || int(x) < least || int(x) > most {
			return fmt.Sprintf("must be a whole number from %d to %d", least, most)
		}
		*to = int(x)
		return ""
	}
}

func text(v cty.Value) (string, bool) {
	if v.IsNull() || !v.IsKnown() || v.Type() != cty.String {
		return "", false
	}
	return v.AsString(), true
}

func span(to *time.Duration, least time.Duration) func(cty.Value) string {
	return func(v cty.Value) string {
		value, _ := text(v)
		x, err := time.ParseDuration(value)
		if err != nil || x < least || x > maxDuration {
			return fmt.Sprintf("must be a time from %v to %v, such as \"250ms\"", least, maxDuration)
		}
		*to = x
		return ""
	}
}

func word(to *string) func(cty.Value) string {
	return func(v cty.Value) string {
		x, ok := text(v)
		if !ok || x == "" {
			return "must be a word"
		}
		*to = x
		return ""
	}
}

func flag(to *bool) func(cty.Value) string {
	return func(v cty.Value) string {
		if v.IsNull() || !v.IsKnown() || v.Type() != cty.Bool {
			return "must be true or false"
		}
		*to = v.True()
		return ""
	}
}

// defaultSpec returns the Spec with the default value of each field.
func defaultSpec() simulator.Spec {
	return simulator.Spec{
		Length:  time.Minute,
		Tick:    5 * time.Millisecond,
		Routers: 1,
		Balance: balance.Config{MaxAttempts: 4, SlowStartMinCapacity: 1},
		Net: simulator.Network{
			Same:              300 * time.Microsecond,
			Cross:             2 * time.Millisecond,
			Jitter:            0.2,
			Connect:           50 * time.Millisecond,
			Idle:              15 * time.Second,
			StreamIdleTimeout: 4500 * time.Millisecond,
		},
		List:    simulator.List{Delay: 50 * time.Millisecond, Spread: 200 * time.Millisecond},
		Front:   simulator.Front{Notice: 2 * time.Second},
		Retries: simulator.Retries{Max: 2, After: 200 * time.Millisecond, Heed: true},
	}
}

func (d *decoder) file(x *Experiment, b *hclsyntax.Body) {
	s := &x.Spec
	*s = defaultSpec()
	names := map[string]bool{}
	d.body(b, "an experiment", fields{
		"seeds":    d.seeds(x),
		"length":   span(&s.Length, time.Millisecond),
		"tick":     span(&s.Tick, time.Microsecond),
		"routers":  integer(&s.Routers, 1, 10000),
		"learned":  flag(&s.Learned),
		"gate":     flag(&s.Gate),
		"captured": word(&x.captured),
	}, blocks{
		"fault":  func(b *hclsyntax.Block) { x.Faults = append(x.Faults, d.faultOf(b)) },
		"rig":    func(b *hclsyntax.Block) { d.rig(&x.Rig, b) },
		"module": func(b *hclsyntax.Block) { d.body(b.Body, "module", d.module(&s.Balance), nil) },
		"group":  func(b *hclsyntax.Block) { s.Groups = append(s.Groups, d.group(b)) },
		"class":  func(b *hclsyntax.Block) { s.Classes = append(s.Classes, d.class(b)) },
		"network": func(b *hclsyntax.Block) {
			d.body(b.Body, "network", fields{"same": span(&s.Net.Same, 0), "cross": span(&s.Net.Cross, 0), "jitter": num(&s.Net.Jitter, 0, 10),
				"connect": span(&s.Net.Connect, 1), "idle": span(&s.Net.Idle, 1), "silent": span(&s.Net.StreamIdleTimeout, 0)}, nil)
		},
		"list": func(b *hclsyntax.Block) {
			d.body(b.Body, "list", fields{"delay": span(&s.List.Delay, 0), "spread": span(&s.List.Spread, 0)}, nil)
		},
		"front": func(b *hclsyntax.Block) {
			d.body(b.Body, "front", fields{"notice": span(&s.Front.Notice, 0), "uneven": num(&s.Front.Uneven, 0, 1)}, nil)
		},
		"retries": func(b *hclsyntax.Block) {
			d.body(b.Body, "retries", fields{"most": integer(&s.Retries.Max, 0, 100), "after": span(&s.Retries.After, 0),
				"heed": flag(&s.Retries.Heed)}, nil)
		},
		"peers": func(b *hclsyntax.Block) {
			s.Peers.On = true
			d.body(b.Body, "peers", fields{"least": span(&s.Peers.Least, 0), "most": span(&s.Peers.Most, 0), "lost": num(&s.Peers.Lost, 0, 1)}, nil)
		},
		"view": d.view(s),
		"trouble": func(b *hclsyntax.Block) {
			s.Disruptions = append(s.Disruptions, d.disruption(b))
			x.disruptionSources = append(x.disruptionSources, fmt.Sprintf("%s:%d", b.TypeRange.Filename, b.TypeRange.Start.Line))
		},
		"variant": func(b *hclsyntax.Block) {
			name := d.label(b)
			if names[name] {
				d.fault(b.TypeRange, "variant", "%q is defined twice", name)
			}
			names[name] = true
			x.Variants = append(x.Variants, Variant{name, d.variant(b)})
		},
	}, "seeds")
	if len(x.Variants) == 0 {
		x.Variants = []Variant{{"base", func(*simulator.Spec) {}}}
	}
	if len(s.Classes) == 0 {
		d.fault(b.SrcRange, "class", "is missing: an experiment needs at least one")
	}
}

// seeds decodes either a list of seeds, or a number n for the seeds from 1 to n.
func (d *decoder) seeds(x *Experiment) func(cty.Value) string {
	return func(v cty.Value) string {
		const wrong = "must be the number of seeds, from 1 to 10000, or a list of seeds"
		if n, ok := number(v); ok && n == float64(int(n)) && n >= 1 && n <= maxSeeds {
			for i := range int(n) {
				x.Seeds = append(x.Seeds, uint64(i+1))
			}
			return ""
		}
		if v.IsNull() || !v.IsKnown() || !v.CanIterateElements() || v.LengthInt() == 0 || v.LengthInt() > maxSeeds {
			return wrong
		}
		for _, e := range v.AsValueSlice() {
			n, ok := number(e)
			if !ok || n != float64(uint64(n)) || slices.Contains(x.Seeds, uint64(n)) {
				return wrong + ", which are whole numbers without duplicates"
			}
			x.Seeds = append(x.Seeds, uint64(n))
		}
		return ""
	}
}

func (d *decoder) module(c *balance.Config) fields {
	return fields{
		"may_probe":        flag(&c.MayProbe),
		"max_attempts":     integer(&c.MaxAttempts, 1, 100),
		"start_capacity":   num(&c.SlowStartMinCapacity, 0, 1),
		"cold_time":        span(&c.SlowStartWindow, 0),
		"overload_factor":  num(&c.OverloadFactor, 0, 1000),
		"overload_window":  span(&c.OverloadWindow, 0),
		"cross_zone_price": num(&c.CrossZonePenalty, 0, 1),
		"max_away":         span(&c.MaxRetryAfter, 0),
	}
}

func (d *decoder) view(s *simulator.Spec) func(*hclsyntax.Block) {
	return func(b *hclsyntax.Block) {
		v := &s.View
		v.On = true
		d.body(b.Body, "view", fields{"late": span(&v.Late, 0), "wrong": num(&v.Wrong, 0, 1), "split": flag(&v.Split)}, nil)
	}
}

// variant checks a block and returns a function that applies the variant to a Spec. The function
// decodes the block anew for each Spec.
func (d *decoder) variant(b *hclsyntax.Block) func(*simulator.Spec) {
	read := func(d *decoder, s *simulator.Spec) {
		f := d.module(&s.Balance)
		f["routers"] = integer(&s.Routers, 1, 10000)
		f["tick"] = span(&s.Tick, time.Microsecond)
		f["learned"], f["gate"] = flag(&s.Learned), flag(&s.Gate)
		f["uneven"] = num(&s.Front.Uneven, 0, 1)
		load := 1.0
		f["load"] = num(&load, 0.01, 100)
		d.body(b.Body, "variant", f, blocks{"view": d.view(s)})
		for i := range s.Classes { // s.Classes is a copy that only this Spec uses
			s.Classes[i].Rate *= load
		}
	}
	read(d, &simulator.Spec{})
	return func(s *simulator.Spec) { read(&decoder{}, s) }
}

func (d *decoder) group(b *hclsyntax.Block) simulator.Group {
	g := simulator.Group{Kind: d.label(b), Zone: "a", Host: hostmodel.Config{Slots: 64, Queue: 64, Memory: 200000, Chunk: 2048, Block: 16,
		Base: 12 * time.Millisecond, PerSeq: 200 * time.Microsecond, ContextPerK: 50 * time.Microsecond, PairsPerM: time.Millisecond,
		ReadPerS: 20000, CachesAnswers: true}}
	h := &g.Host
	d.body(b.Body, "group", fields{
		"hosts": integer(&g.Count, 0, 100000), "zone": word(&g.Zone),
		"slots": integer(&h.Slots, 1, 100000), "queue": integer(&h.Queue, 0, 1000000), "memory": integer(&h.Memory, 1, 1<<31),
		"chunk": integer(&h.Chunk, 1, 1<<20), "block": integer(&h.Block, 1, 1<<20), "step": span(&h.Base, 1), "per_seq": span(&h.PerSeq, 0),
		"context_per_k": span(&h.ContextPerK, 0), "pairs_per_m": span(&h.PairsPerM, 0), "read_per_s": num(&h.ReadPerS, 0, 1e9),
		"keeps_made": flag(&h.CachesAnswers), "connections": integer(&h.MaxConnections, 0, 1<<20), "handshake": span(&h.HandshakeWork, 0),
		"table_cost": num(&h.TableCost, 0, 0.9), "probe": span(&h.ProbeWork, 0), "probes_per_second": integer(&h.MaxProbesPerSecond, 0, 1<<20),
		"report_every": span(&h.ReportInterval, 0), "report_noise": num(&h.ReportNoise, 0, 1),
	}, blocks{"cold": func(b *hclsyntax.Block) {
		c := &h.SlowStart
		d.body(b.Body, "cold", fields{"share": num(&c.InitialCapacity, 0.01, 1), "time": span(&c.Duration, 0), "work": span(&c.Work, 0),
			"factor": num(&c.MaxLoadFactor, 0, 1000), "window": span(&c.Window, 0), "per_token": span(&c.PerPromptToken, 0), "per_made": span(&c.PerAnswerToken, 0)},
			nil, "share", "time")
	}}, "hosts")
	return g
}

func (d *decoder) class(b *hclsyntax.Block) simulator.Class {
	c := simulator.Class{Class: balance.Class{Name: d.label(b), Value: 1, Streamed: true}, Turns: 1, MaxOut: 800, MaxContext: 32000,
		New: simulator.Length{Median: 300, Sigma: 0.8}, Out: simulator.Length{Median: 120, Sigma: 0.7}, PrefixLen: simulator.Length{Median: 1000, Sigma: 0.5}, Zipf: 1}
	d.body(b.Body, "class", fields{
		"aim": span(&c.Class.LatencyTarget, 0), "aim_per_1000": span(&c.Class.LatencyTargetPer1000Tokens, 0), "token_aim": span(&c.Class.TokenLatencyTarget, 0),
		"deadline": span(&c.Class.Deadline, 1), "worth": num(&c.Class.Value, 0, 1e6), "late_worth": num(&c.Class.LateValueFraction, 0, 1),
		"rate": num(&c.Rate, 0, 1e6), "turns": num(&c.Turns, 1, 1000), "think": span(&c.Think, 0),
		"new_median": num(&c.New.Median, 1, 1e6), "new_sigma": num(&c.New.Sigma, 0, 5),
		"out_median": num(&c.Out.Median, 1, 1e6), "out_sigma": num(&c.Out.Sigma, 0, 5),
		"max_out": integer(&c.MaxOut, 1, 1<<20), "max_context": integer(&c.MaxContext, 1, 1<<24),
		"prefixes": integer(&c.Prefixes, 0, 1<<20), "prefix_zipf": num(&c.Zipf, 0, 10),
		"prefix_median": num(&c.PrefixLen.Median, 1, 1e6), "prefix_sigma": num(&c.PrefixLen.Sigma, 0, 5),
		"patience": num(&c.Patience, 0, 1),
	}, nil, "aim", "deadline", "rate")
	return c
}

func (d *decoder) disruption(b *hclsyntax.Block) simulator.Disruption {
	t := simulator.Disruption{Kind: simulator.DisruptionKind(d.label(b))}
	known := simulator.Disruption{Kind: t.Kind, Fraction: 1, Size: 1, Length: 1, Zone: t.Zone}
	if probe := (&simulator.Spec{Length: 1, Tick: 1, Routers: 1, Classes: []simulator.Class{{Class: balance.Class{Deadline: 1}, Turns: 1, MaxOut: 1, MaxContext: 1}},
		Groups: []simulator.Group{{Host: hostmodel.Config{Slots: 1, Memory: 1, Chunk: 1, Base: 1}}}, Disruptions: []simulator.Disruption{known}}); probe.Check() != nil {
		d.fault(b.TypeRange, "trouble", "%q is unknown", t.Kind)
	}
	needed := []string{"at", "length"}
	switch t.Kind {
	case simulator.SlowHosts, simulator.HeavyTail:
		needed = append(needed, "part", "size")
	case simulator.Burst:
		needed = append(needed, "size")
	case simulator.RouterCrash, simulator.HostsDie, simulator.Replace, simulator.Release:
		needed = append(needed, "part")
	case simulator.LostZone:
		needed = append(needed, "zone")
	}
	d.body(b.Body, "trouble", fields{"at": span(&t.At, 0), "length": span(&t.Length, 1), "part": num(&t.Fraction, 0, 1),
		"size": num(&t.Size, 0.01, 1000), "zone": word(&t.Zone)}, nil, needed...)
	return t
}

// Captured reads a capture and returns it as the plan of an experiment's clients. It returns an
// error if the capture has a class that the experiment lacks.
func Captured(path string, spec *simulator.Spec) ([]simulator.Planned, error) {
	_, all, err := capture.Read(path)
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s:1: the capture has no requests", filepath.Base(path))
	}
	plan := make([]simulator.Planned, 0, len(all))
	for i, q := range all {
		n := slices.IndexFunc(spec.Classes, func(c simulator.Class) bool { return c.Class.Name == q.Class })
		if n < 0 {
			return nil, fmt.Errorf("%s:%d: class %q is not a class of the experiment", filepath.Base(path), i+2, q.Class)
		}
		c := &spec.Classes[n]
		plan = append(plan, simulator.Planned{At: q.At, ID: fmt.Sprint("c", i+1), Class: n, Session: q.Session, Prefix: q.Prefix, Shared: q.PrefixTokens,
			Prompt: q.PromptTokens, Out: c.AnswerOf(i), MaxOut: c.MaxOut})
	}
	return plan, nil
}
