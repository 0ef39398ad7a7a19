package register_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/coord/register"
	"reachspread/coord/storage"
)

var errRejected = errors.New("rejected")

// rejectingLines is a state machine of lines that rejects the snapshot "bad".
type rejectingLines struct{ lines }

func (l *rejectingLines) Restore(data []byte) error {
	if string(data) == "bad" {
		return errRejected
	}
	return l.lines.Restore(data)
}

// Load returns an UnreadableError that names the unreadable record or saved state on the disk.
func TestUnreadableStateIsNamed(t *testing.T) {
	marshal := func(m proto.Message) []byte {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	garbage := []byte{0xff}
	good := marshal(&coordpb.Durable{Identity: 1, State: []byte("one")})
	installed := &coordpb.Installed{Position: &coordpb.Position{Sequence: 1}, State: []byte("bad")}
	epoch := marshal(&coordpb.Record{Body: &coordpb.Record_StateEpoch{StateEpoch: 2}})
	for name, c := range map[string]struct {
		state   []byte
		records [][]byte
		want    int   // the expected UnreadableError.Record
		cause   error // nil for any
	}{
		"a saved state that is no message":    {garbage, nil, register.SavedState, nil},
		"a saved state that is rejected":      {marshal(&coordpb.Durable{State: []byte("bad")}), nil, register.SavedState, errRejected},
		"a record that is no message":         {good, [][]byte{epoch, garbage}, 1, nil},
		"a record whose snapshot is rejected": {good, [][]byte{epoch, epoch, marshal(&coordpb.Record{Body: &coordpb.Record_Installed{Installed: installed}})}, 2, errRejected},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files, err := storage.NewFolder(t.TempDir())
			is.NoErr(err)
			defer files.Close()
			store, _, err := storage.Open(files)
			is.NoErr(err)
			is.NoErr(store.Save(c.state))
			if len(c.records) > 0 {
				is.NoErr(store.Append(c.records...))
			}
			_, _, err = register.Load(files, &rejectingLines{})
			var unreadable *register.UnreadableError
			is.True(errors.As(err, &unreadable))
			is.Equal(unreadable.Record, c.want)
			is.True(c.cause == nil || errors.Is(err, c.cause))
		})
	}
}
