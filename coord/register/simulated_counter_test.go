package register

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// counter is the machine: a version that orders raise by one, if they name the one in force. What it tells and keeps is text in fields
// with a space between, as most of the time of a schedule would go into a richer form.
type counter struct {
	Version int
	Taken   map[string]int // the last orders, with the version that each made
	By      []string       // the orders that made the last versions
	Hash    uint64         // of all orders
}

// remembered is how many orders a counter tells of, to be quick.
const remembered = 64

// counterOrder raises the version that it is on. Its name has no space.
type counterOrder struct {
	Name string
	On   int
}

func (o counterOrder) text() []byte { return fmt.Appendf(nil, "%d %s", o.On, o.Name) }

func orderOf(text []byte) (o counterOrder, err error) {
	on, name, _ := strings.Cut(string(text), " ")
	o.Name = name
	o.On, err = strconv.Atoi(on)
	return o, err
}

// counterReply tells what became of an order.
type counterReply struct {
	Taken   bool
	Version int
}

func (r counterReply) text() []byte { return fmt.Appendf(nil, "%t %d", r.Taken, r.Version) }

func replyOf(text []byte) (r counterReply, err error) {
	taken, version, _ := strings.Cut(string(text), " ")
	if r.Taken, err = strconv.ParseBool(taken); err != nil {
		return r, err
	}
	r.Version, err = strconv.Atoi(version)
	return r, err
}

func newCounter() *counter { return &counter{Taken: map[string]int{}} }

func (c *counter) Decide(text []byte) (change, reply []byte) {
	o, err := orderOf(text)
	answer := counterReply{Version: c.Version}
	switch made, taken := c.Taken[o.Name]; {
	case taken:
		answer = counterReply{true, made}
	case err == nil && o.On == c.Version:
		change, answer = text, counterReply{true, c.Version + 1}
	}
	return change, answer.text()
}

func (c *counter) Apply(change []byte) {
	o, _ := orderOf(change)
	c.Version++
	c.Taken[o.Name] = c.Version
	c.Hash = xxhash.Sum64String(strconv.FormatUint(c.Hash, 10) + o.Name)
	if c.By = append(c.By, o.Name); len(c.By) > remembered {
		delete(c.Taken, c.By[0])
		c.By = c.By[1:]
	}
}

func (c *counter) Snapshot() []byte {
	text := fmt.Appendf(nil, "%d %d", c.Version, c.Hash)
	for _, name := range c.By {
		text = append(append(text, ' '), name...)
	}
	return text
}

func (c *counter) Restore(text []byte) (err error) {
	*c = *newCounter()
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return fmt.Errorf("a counter of %d fields; there are two at least", len(fields))
	}
	if c.Version, err = strconv.Atoi(fields[0]); err != nil {
		return err
	}
	if c.Hash, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
		return err
	}
	c.By = fields[2:]
	for i, name := range c.By {
		c.Taken[name] = c.Version - len(c.By) + 1 + i
	}
	return nil
}

func (c *counter) Value() any { return strconv.Itoa(c.Version) + " " + strconv.FormatUint(c.Hash, 10) }
