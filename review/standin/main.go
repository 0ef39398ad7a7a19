//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// The results of a case.
const (
	passed = 0
	broken = 1
	notRun = 2
)

// cases are the scripts. Each returns its result. withFault says whether the disruption takes place.
var cases = map[string]func(rec *Record, f *Fleet, withFault bool) int{"1": departingClient, "2": acknowledgedEnd, "3": brokenOff}

const key = "hwrr6x73d3zji9n73hh2"

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == "host" {
		return hostProcess(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository, after the build")
		return notRun
	}
	program, err := filepath.Abs("target/reachspread")
	if err != nil || !exists(program) {
		fmt.Fprintln(os.Stderr, "target/reachspread is missing: run the build of the deploy file first")
		return notRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	rec := &Record{w: io.MultiWriter(file, os.Stdout), began: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.Log("no temporary folder: %v", err)
		return notRun
	}
	defer os.RemoveAll(dir)
	f := NewFleet(rec, program, dir, freeNetwork(), 3)
	defer f.KillAll()
	withFault := os.Getenv("TROUBLE") != "0"
	rec.Log("case %s, disruption: %v; 6 routers, 3 of them with a disk", os.Args[1], withFault)
	for _, r := range f.Routers {
		if err := f.Start(r); err != nil {
			rec.Log("%s does not start: %v", r.Name, err)
			return notRun
		}
	}
	result := cases[os.Args[1]](rec, f, withFault)
	rec.Log("result: %s", [...]string{"the rule held", "THE RULE IS BROKEN", "the case could not run"}[result])
	rec.Close()
	return result
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// freeNetwork returns the first three bytes of loopback addresses at which the routers' ports are free.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		free := true
		for i := 1; i <= 6 && free; i++ {
			for _, port := range []int{7680, 8662, 8663, 8665} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i, port))
				if err != nil {
					free = false
					break
				}
				ln.Close()
			}
		}
		if free {
			return network
		}
	}
}

// hostAddress returns the address of host i, from 0.
func (f *Fleet) hostAddress(i int) string {
	return fmt.Sprintf("%s.%d:8300", f.Routers[0].IP[:strings.LastIndexByte(f.Routers[0].IP, '.')], 100+i)
}

// begin registers the hosts and puts a first configuration, and waits until all routers are ready.
func (f *Fleet) begin(hosts []*Host, routes ...any) bool {
	for _, h := range hosts {
		if !h.external {
			if err := h.Listen(); err != nil {
				f.rec.Log("host %s: %v", h.ID, err)
				return false
			}
		}
		f.rec.Log("host %s of %s listens at %s", h.ID, h.Service, h.Address)
		h.Register()
	}
	time.Sleep(500 * time.Millisecond)
	tenant := map[string]any{"name": "kaje80", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "ratePerS": 223061, "burst": 223061}
	if !f.PutConfiguration(0, configuration(7, routes, []any{tenant}, hosts[0].Service)) || !f.AwaitReady(10*time.Second) {
		f.rec.Log("the fleet is not ready")
		return false
	}
	f.rec.Log("all routers are ready")
	return true
}

// requestText returns the text of a request.
func requestText(path, id, body string, deadline time.Duration, extra string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, deadline.Milliseconds(), key, extra, len(body), body)
}

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// writeAnswer writes a host's whole answer.
func writeAnswer(c net.Conn, id, hostID, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: 3e1b.%s\r\nContent-Length: %d\r\n\r\n%s", id, hostID, len(body), body)
}
