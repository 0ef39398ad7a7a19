package register_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
	"reachspread/internal/testbed/golden"
)

// The code of commit 5bfcc27 wrote the folders below testdata/golden, with this command:
//
//	go test ./coord/register -run TestGolden -write-golden
//
// They pin what a process of a register writes to its disk and what it decides: the same inputs
// have to produce the same bytes. The folders are never written again, because later versions have
// to read them as they are.
var writeGolden = flag.Bool("write-golden", false, "write testdata/golden instead of comparing with it")

const (
	goldenPath   = "testdata/golden"
	everyRecord  = "every-record"
	goldenStep   = 10 * time.Millisecond
	goldenTick   = 50 * time.Millisecond
	goldenClient = "client"
)

// lines is a state machine whose state is lines of text. A command adds a line.
type lines struct{ all []string }

func (l *lines) Decide(command []byte) (change, reply []byte) { return command, []byte("added") }
func (l *lines) Apply(change []byte)                          { l.all = append(l.all, string(change)) }
func (l *lines) Snapshot() []byte                             { return []byte(strings.Join(l.all, "\n")) }
func (l *lines) Restore(data []byte) error                    { l.all = strings.Split(string(data), "\n"); return nil }
func (l *lines) Value() any                                   { return strings.Join(l.all, "\n") }

// everyField returns the saved state of a process, with every field set.
func everyField() *coordpb.Durable {
	members := []*coordpb.Member{{Identity: 11, Address: "a:1", Label: "zone 1"}, {Identity: 1 << 63, Address: "b:1"}, {Identity: 13, Address: "c:1"}}
	view := func(epoch uint64, chain ...uint64) *coordpb.View {
		return &coordpb.View{Epoch: epoch, Members: members, Chain: chain, MembersSince: 4,
			Duties: []*coordpb.Duty{{Owner: 11, Since: 5, WaitMs: 250}, {Owner: 13, Since: 4, WaitMs: -1}}}
	}
	return &coordpb.Durable{Identity: 11, Founder: true, View: view(7, 11, 1<<63, 13),
		Promised: &coordpb.Ballot{Round: 9, Proposer: 13}, AcceptedBallot: &coordpb.Ballot{Round: 8, Proposer: 11}, AcceptedView: view(8, 11, 13),
		Position: &coordpb.Position{StateEpoch: 7, Sequence: 300, EntryEpoch: 6}, State: []byte("one\ntwo")}
}

// recordsOf returns records of every kind that a process with the saved state d may write, in a
// possible order.
func recordsOf(d *coordpb.Durable) []*coordpb.Record {
	next := proto.Clone(d.AcceptedView).(*coordpb.View)
	after := proto.Clone(next).(*coordpb.View)
	after.Epoch++
	return []*coordpb.Record{
		{Body: &coordpb.Record_Entry{Entry: &coordpb.Entry{Epoch: 7, Sequence: 301, Change: []byte("three")}}},
		{Body: &coordpb.Record_Learned{Learned: next}},
		{Body: &coordpb.Record_Installed{Installed: &coordpb.Installed{Position: &coordpb.Position{StateEpoch: 7, Sequence: 400, EntryEpoch: 7}, State: []byte("four\nfive")}}},
		{Body: &coordpb.Record_StateEpoch{StateEpoch: 8}},
		{Body: &coordpb.Record_Entry{Entry: &coordpb.Entry{Epoch: 8, Sequence: 401, Change: []byte("six")}}},
		{Body: &coordpb.Record_Promised{Promised: &coordpb.Promised{Ballot: &coordpb.Ballot{Round: 10, Proposer: 1 << 63}}}},
		{Body: &coordpb.Record_Accepted{Accepted: &coordpb.AcceptedView{Ballot: &coordpb.Ballot{Round: 10, Proposer: 1 << 63}, View: after}}},
	}
}

// Load recovers exactly what was written to a slot with every field and to a log with every kind of
// record.
func TestGoldenEveryRecord(t *testing.T) {
	is := is.New(t)
	saved := everyField()
	write := func(path string) {
		files, err := storage.NewFolder(path)
		is.NoErr(err)
		defer files.Close()
		store, _, err := storage.Open(files)
		is.NoErr(err)
		data, err := proto.Marshal(saved)
		is.NoErr(err)
		is.NoErr(store.Save(data))
		for _, r := range recordsOf(saved) {
			data, err := proto.Marshal(r)
			is.NoErr(err)
			is.NoErr(store.Append(data))
		}
	}
	if *writeGolden {
		write(filepath.Join(goldenPath, everyRecord))
		return
	}
	current := t.TempDir()
	write(current)
	golden.SameFolders(t, filepath.Join(goldenPath, everyRecord), current)

	state := &lines{}
	_, persisted := loadGolden(t, everyRecord, state)
	records := recordsOf(saved)
	want := proto.Clone(saved).(*coordpb.Durable)
	want.View = records[1].GetLearned()
	want.Promised = records[5].GetPromised().Ballot
	want.AcceptedBallot, want.AcceptedView = records[6].GetAccepted().Ballot, records[6].GetAccepted().View
	want.Position = &coordpb.Position{StateEpoch: 8, Sequence: 401, EntryEpoch: 8}
	is.True(proto.Equal(persisted, want))
	is.Equal(state.Value(), "four\nfive\nsix")

	core := register.NewCore(register.Config{Self: &coordpb.Member{Address: "a:1", Identity: persisted.Identity}, Founder: persisted.Founder, Eligible: true,
		Tolerance: 1, Persisted: persisted, Unsynced: true}, state, 0)
	is.True(proto.Equal(core.View(), want.View))
	is.True(proto.Equal(core.Position(), want.Position))
	durable, _ := core.Durable()
	want.State = []byte("four\nfive\nsix")
	is.True(proto.Equal(durable, want))
}

// loadGolden loads a copy of a golden folder into a machine.
func loadGolden(t *testing.T, name string, machine *lines) (*storage.Store, *coordpb.Durable) {
	t.Helper()
	is := is.New(t)
	path := t.TempDir()
	is.NoErr(os.CopyFS(path, os.DirFS(filepath.Join(goldenPath, name))))
	files, err := storage.NewFolder(path)
	is.NoErr(err)
	t.Cleanup(files.Close)
	store, persisted, err := register.Load(files, machine)
	is.NoErr(err)
	is.True(persisted != nil)
	return store, persisted
}

// goldenProcess is a process of a goldenGroup. Its core is nil while the process is stopped.
type goldenProcess struct {
	address string
	path    string
	files   *storage.Folder
	store   *storage.Store
	state   *lines
	core    *register.Core
}

// goldenGroup is a group of three processes with disks. Each message takes one goldenStep to arrive
// and none is lost.
type goldenGroup struct {
	is          *is.I
	now         time.Duration
	processes   []*goldenProcess
	inFlight    []register.Send
	submissions uint64
	replies     int
	accepted    map[uint64]int // by the epoch of a view, the number of Accepted messages sent for it
}

var goldenAddresses = []string{"a:1", "b:1", "c:1"}

func newGoldenGroup(is *is.I, folder string) *goldenGroup {
	g := &goldenGroup{is: is, accepted: map[uint64]int{}}
	for _, address := range goldenAddresses {
		p := &goldenProcess{address: address, path: filepath.Join(folder, address[:1])}
		g.processes = append(g.processes, p)
		g.start(p)
	}
	return g
}

// start starts a process with the state on its disk.
func (g *goldenGroup) start(p *goldenProcess) {
	var err error
	p.files, err = storage.NewFolder(p.path)
	g.is.NoErr(err)
	p.state = &lines{}
	store, persisted, err := register.Load(p.files, p.state)
	g.is.NoErr(err)
	p.store = store
	number := uint64(p.address[0])
	c := register.Config{Self: &coordpb.Member{Address: p.address, Identity: 1000 + number}, Seeds: goldenAddresses, Founder: persisted == nil, Eligible: true,
		Tolerance: 1, Seed: number}
	if persisted != nil {
		c.Persisted, c.Self.Identity, c.Founder, c.Unsynced = persisted, persisted.Identity, persisted.Founder, true
	}
	p.core = register.NewCore(c, p.state, g.now)
	p.core.SetKnownAddresses(goldenAddresses)
}

// stop stops a process.
func (p *goldenProcess) stop() {
	p.files.Close()
	p.core = nil
}

// run advances the time to until, or only to the step after which done returns true. The function
// done may be nil.
func (g *goldenGroup) run(until time.Duration, done func() bool) {
	for g.now < until && (done == nil || !done()) {
		g.now += goldenStep
		sends := g.inFlight
		g.inFlight = nil
		for _, s := range sends {
			g.deliver(s)
		}
		for _, p := range g.processes {
			if p.core != nil && g.now%goldenTick == 0 {
				g.applyOutput(p.core.Tick(g.now))
			}
			g.write(p)
		}
	}
}

func (g *goldenGroup) deliver(s register.Send) {
	if s.To == goldenClient {
		if s.Message.GetReply() != nil {
			g.replies++
		}
		return
	}
	for _, p := range g.processes {
		if p.address == s.To && p.core != nil {
			g.applyOutput(p.core.Receive(g.now, proto.Clone(s.Message).(*coordpb.Message)))
			g.write(p)
		}
	}
}

func (g *goldenGroup) applyOutput(out register.Output) {
	for _, s := range out.Sends {
		if a := s.Message.GetAccepted(); a != nil {
			g.accepted[a.Instance]++
		}
		g.inFlight = append(g.inFlight, s)
	}
}

// write writes all pending batches of a process to its disk.
func (g *goldenGroup) write(p *goldenProcess) {
	for p.core != nil {
		batch, err := p.core.NextBatch(p.store, p.store.SaveRequired())
		g.is.NoErr(err)
		if batch == nil {
			return
		}
		g.is.NoErr(batch.Write(p.store))
		g.applyOutput(p.core.RecordsWritten(batch.RecordCount, g.now))
	}
}

// submit submits a command to the head and runs the group for 200 ms.
func (g *goldenGroup) submit(text string) {
	g.submissions++
	for _, p := range g.processes {
		core := p.core
		if core != nil && len(core.View().Chain) > 0 && core.View().Chain[0] == 1000+uint64(p.address[0]) {
			m := &coordpb.Message{From: &coordpb.Member{Address: goldenClient, Identity: 1}, Body: &coordpb.Message_Submit{Submit: &coordpb.Submit{Id: g.submissions, Order: []byte(text)}}}
			g.inFlight = append(g.inFlight, register.Send{To: p.address, Message: m})
			break
		}
	}
	g.run(g.now+200*time.Millisecond, nil)
}

// save writes the complete state of a process to its disk, as a process does when the log is full.
func (g *goldenGroup) save(p *goldenProcess) {
	batch, err := p.core.NextBatch(p.store, true)
	g.is.NoErr(err)
	g.is.NoErr(batch.Write(p.store))
	g.applyOutput(p.core.RecordsWritten(batch.RecordCount, g.now))
}

// runGoldenScenario writes the folders of a group. The group executes commands in a first view, and
// further ones while the third process is stopped. Then the third process starts again. All
// processes stop after the first vote for the view that takes the third process back into the
// chain, before that view is chosen.
func runGoldenScenario(is *is.I, folder string) {
	g := newGoldenGroup(is, folder)
	g.run(3*time.Second, nil)
	for _, text := range []string{"one", "two", "three"} {
		g.submit(text)
	}
	b, c := g.processes[1], g.processes[2]
	c.stop()
	g.run(g.now+3*time.Second, nil)
	g.submit("four")
	g.save(b)
	g.submit("five")
	g.start(c)
	epoch := b.core.View().Epoch + 1
	g.run(g.now+20*time.Second, func() bool { return g.accepted[epoch] > 0 })
	is.True(g.accepted[epoch] > 0)
	is.Equal(g.replies, 5)
	for _, p := range g.processes {
		p.stop()
	}
}

// Today's code writes the same bytes as the golden folders for the same inputs. From the golden
// folders it loads the expected content: a promise and an accepted view for the next epoch, all
// commands, and the identities.
func TestGoldenGroup(t *testing.T) {
	is := is.New(t)
	if *writeGolden {
		runGoldenScenario(is, goldenPath)
		return
	}
	current := t.TempDir()
	runGoldenScenario(is, current)
	const state = "one\ntwo\nthree\nfour\nfive"
	for i, name := range []string{"a", "b", "c"} {
		golden.SameFolders(t, filepath.Join(goldenPath, name), filepath.Join(current, name))
		machine := &lines{}
		_, persisted := loadGolden(t, name, machine)
		is.Equal(persisted.Identity, 1097+uint64(i))
		is.True(persisted.Founder)
		is.Equal(persisted.View.Epoch, uint64(2))
		is.Equal(persisted.View.MembersSince, uint64(1))
		is.Equal(persisted.View.Chain, []uint64{1097, 1098})
		is.Equal(len(persisted.View.Duties), 32)
		is.True(proto.Equal(persisted.View.Duties[2], &coordpb.Duty{Owner: 1097, Since: 2, WaitMs: -190}))
		for k, m := range persisted.View.Members {
			is.True(proto.Equal(m, &coordpb.Member{Identity: 1097 + uint64(k), Address: goldenAddresses[k]}))
		}
		ballot := &coordpb.Ballot{Round: 3, Proposer: 1097}
		is.True(proto.Equal(persisted.Promised, ballot))
		is.True(proto.Equal(persisted.AcceptedBallot, ballot))
		is.Equal(persisted.AcceptedView.Epoch, uint64(3))
		is.Equal(persisted.AcceptedView.Chain, []uint64{1097, 1098, 1099})
		is.True(proto.Equal(persisted.Position, &coordpb.Position{StateEpoch: 2, Sequence: 5, EntryEpoch: 2}))
		is.Equal(machine.Value(), state)
	}
}

// Processes that start on copies of the golden folders have the recorded state, agree on one more
// view, and commit further commands.
func TestGoldenGroupGoesOn(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	for _, name := range []string{"a", "b", "c"} {
		is.NoErr(os.CopyFS(filepath.Join(folder, name), os.DirFS(filepath.Join(goldenPath, name))))
	}
	g := newGoldenGroup(is, folder)
	g.run(5*time.Second, nil)
	g.submit("six")
	is.Equal(g.replies, 1)
	for _, p := range g.processes {
		is.Equal(p.state.Value(), "one\ntwo\nthree\nfour\nfive\nsix")
		is.Equal(p.core.View().Chain, []uint64{1097, 1098, 1099})
		is.True(p.core.View().Epoch >= 3)
	}
}
