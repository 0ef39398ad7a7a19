package scoreanalysis

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"reachspread/internal/testbed/golden"
)

// incident.json and run.json are entries 44e275c5 and 981af365 of this repository's journal, as the
// fleet's bench wrote them. The golden files hold the output of Print for these entries. They were
// made at commit 5bfcc27 by WRITE_GOLDEN=1 go test -run Golden.

// Read and Print still give the same account of a journal entry as at commit 5bfcc27.
func TestGoldenEntries(t *testing.T) {
	accounts := map[string]*Account{}
	for _, name := range []string{"incident", "run"} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		a, err := Read(bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		if len(a.Days) == 0 || a.ID == "" || a.Site == "" || a.Why == "" {
			t.Errorf("%s: %+v", name, a)
		}
		var out bytes.Buffer
		Print(&out, a, nil)
		golden.Same(t, name+".txt", out.Bytes())
		accounts[name] = a
	}
	day := accounts["incident"].Days[0]
	if day.Name != "inc1" || day.Worth != 0.6152 || !day.Scored || day.Score != 0.6152 || day.Lost("machine-seconds") != 0.0608 {
		t.Errorf("%+v", day)
	}
}
