// Drill connects the decision code of package balance to the simulator. It reads batches of events
// from standard input and writes one reply for each batch to standard output. One process runs many
// balancer instances.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"reachspread/balance"
	"reachspread/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// serve answers each line of in, which is a batch of events, with one line on out until in ends.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	host := host{instances: map[int]*balance.Balancer{}}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", n, err)
		}
		batch, err := wire.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		reply, err := host.answer(batch)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if err := json.NewEncoder(w).Encode(reply); err != nil {
			return fmt.Errorf("line %d: encoding the reply failed: %w", n, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("line %d: writing the reply failed: %w", n, err)
		}
	}
}

// host holds the balancer instances of one process by their number. The instances share no state.
type host struct {
	instances map[int]*balance.Balancer
}

// answer runs each instance that occurs in a batch once, with all its events of the batch, and
// collects the actions into a reply. The instances run in the order in which they first occur.
func (h *host) answer(batch *wire.Batch) (*wire.Reply, error) {
	reply := &wire.Reply{Outbox: []any{}}
	events := map[int][]balance.Event{}
	var order []int
	touch := func(i int) {
		if _, ok := events[i]; !ok {
			events[i] = nil
			order = append(order, i)
		}
	}
	for n := range batch.Msgs {
		m := &batch.Msgs[n]
		switch {
		case m.Launch != nil:
			b, err := launch(m.Launch)
			if err != nil {
				return nil, fmt.Errorf("msgs[%d]: instance %d: %w", n, m.Launch.I, err)
			}
			h.instances[m.Launch.I] = b
			touch(m.Launch.I)
		case m.Killed != nil:
			// Discard the earlier events of the batch as well: a killed instance can't answer them.
			delete(h.instances, m.Killed.I)
			touch(m.Killed.I)
			events[m.Killed.I] = nil
		default:
			i, ev, err := m.Event()
			if err != nil {
				return nil, fmt.Errorf("msgs[%d]: %w", n, err)
			}
			if h.instances[i] == nil {
				return nil, fmt.Errorf("msgs[%d]: instance %d was never launched; send launch first", n, i)
			}
			touch(i)
			if ev != nil {
				events[i] = append(events[i], ev)
			}
		}
	}
	for _, i := range order {
		if b := h.instances[i]; b != nil {
			reply.Outbox = append(reply.Outbox, step(i, b, time.Duration(batch.Now), events[i])...)
		}
	}
	return reply, nil
}

func launch(l *wire.Launch) (*balance.Balancer, error) {
	cfg, err := l.Options.Config()
	if err != nil {
		return nil, err
	}
	return balance.New(cfg, l.Entropy)
}

// step runs one instance and returns its actions in the simulator's format. If the decision code
// panics, step returns the message that reports a crash.
func step(i int, b *balance.Balancer, now time.Duration, events []balance.Event) (out []any) {
	defer func() {
		if p := recover(); p != nil {
			out = []any{wire.Die(i, fmt.Sprint(p))}
		}
	}()
	for _, a := range b.Step(now, events) {
		out = append(out, wire.Actions(i, a)...)
	}
	return out
}
