package program

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// smallMemory is the limit, in megabytes, up to which the program's own pages count for much.
const smallMemory = 64

// mapping is a range of the process's addresses.
type mapping struct{ from, to uintptr }

// releasePages gives back the pages of the program's file that were needed at its start: code and
// tables of libraries that this process uses once or never. What is needed again comes back from
// the file. A process that can't do so goes on with them.
func releasePages() {
	self, err := os.Executable()
	if err != nil {
		return
	}
	smaps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return
	}
	defer smaps.Close()
	for _, m := range unchangedMappings(smaps, self) {
		unix.Syscall(unix.SYS_MADVISE, m.from, m.to-m.from, unix.MADV_DONTNEED)
	}
}

// unchangedMappings are those of a file that can't be written and have no page that differs from
// the file, by the text of smaps (proc(5)).
func unchangedMappings(smaps io.Reader, file string) (all []mapping) {
	var m mapping
	lines := bufio.NewScanner(smaps)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		if !strings.HasSuffix(fields[0], ":") {
			m = readOnlyMapping(fields, file)
			continue
		}
		if fields[0] == "Anonymous:" && fields[1] == "0" && m.from != 0 {
			all = append(all, m)
		}
	}
	return all
}

// readOnlyMapping reads the first line of a mapping; it is empty where the mapping isn't of the
// file or can be written.
func readOnlyMapping(fields []string, file string) (m mapping) {
	if len(fields) < 6 || fields[5] != file || strings.Contains(fields[1], "w") {
		return mapping{}
	}
	if _, err := fmt.Sscanf(fields[0], "%x-%x", &m.from, &m.to); err != nil {
		return mapping{}
	}
	return m
}
