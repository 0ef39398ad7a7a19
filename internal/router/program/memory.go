package program

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// smallMemory is the memory limit, in megabytes, up to which the program releases the pages of its
// own file, because they take a large part of such a limit.
const smallMemory = 64

// mapping is a mapped range of the process's address space.
type mapping struct{ from, to uintptr }

// releasePages gives the resident pages of the program's file back to the system. Many of them are
// code and tables of libraries that the process uses only at its start or never. The system reads a
// page from the file again when the process needs it. If releasePages fails, the pages stay
// resident.
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

// unchangedMappings returns the read-only mappings of a file none of whose pages differ from the
// file. It reads them from the text of smaps; see proc(5).
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

// readOnlyMapping parses the fields of the first line of a mapping. It returns an empty mapping if
// the mapping is writable or belongs to another file.
func readOnlyMapping(fields []string, file string) (m mapping) {
	if len(fields) < 6 || fields[5] != file || strings.Contains(fields[1], "w") {
		return mapping{}
	}
	if _, err := fmt.Sscanf(fields[0], "%x-%x", &m.from, &m.to); err != nil {
		return mapping{}
	}
	return m
}
