//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostCount   = 6 // one of them crashes: a share of 0.17
	answerBytes = 256 << 10
	chunkBytes  = 8 << 10
	chunkTime   = 15 * time.Millisecond // a host writes an answer in 32 pieces, 0.48 s in all
	crashAt     = 4 * time.Second       // after the first request
	lookupEvery = 20 * time.Millisecond
	lookupTime  = 8 * time.Second
)

// brokenOff shows that the answers that a host was writing when it crashed reach the clients as complete successes, if
// the host writes answers without a length and had written more than 64 KiB of each.
func brokenOff(rec *Record, f *Fleet, withFault bool) int {
	var hosts []*Host
	var crashing *exec.Cmd
	for i := range hostCount {
		h := f.NewHost(fmt.Sprintf("i-7f3a91c%d", i), "xano55b", f.hostAddress(i), zones[i%3])
		cmd := exec.Command(os.Args[0], "host", h.ID, h.Address)
		cmd.Stderr = os.Stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := startLocked(cmd); err != nil {
			rec.Log("host %s: %v", h.ID, err)
			return notRun
		}
		defer func() {
			cmd.Process.Kill()
			cmd.Wait()
		}()
		crashing = cmd
		h.external = true
		hosts = append(hosts, h)
	}
	if !f.begin(hosts, route("r-u", "/pule252/", "unsafe", "xano55b", 1, map[string]any{"timeoutMs": 5000, "targetLatencyMs": 800})) {
		return notRun
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, ends := 0, map[string]int{}
	began, crashed := time.Now(), false
	for i := 0; time.Since(began) < lookupTime; i++ {
		if withFault && !crashed && time.Since(began) >= crashAt {
			crashed = true
			close(hosts[hostCount-1].stop)
			crashing.Process.Kill()
			rec.Log("host %s crashes: its process is killed", hosts[hostCount-1].ID)
		}
		wg.Go(func() {
			r, id := f.Routers[i%len(f.Routers)], newID()
			status, seal, body, err := fetch(r.Front(), id)
			end := fmt.Sprintf("%d, complete", status)
			isComplete := bytes.Equal(body, []byte(completeAnswer(id)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				end = "not complete"
			}
			if err == nil && status/100 == 2 && !isComplete {
				mixed++
				end += ", not the host's whole body"
			}
			ends[end]++
			if !isComplete {
				rec.Log("request %s by %s: the client gets: %s, %d of %d bytes, Response-Seal %q, error %v", id, r.Name, end, len(body), answerBytes, seal, err)
			}
		})
		time.Sleep(lookupEvery)
	}
	wg.Wait()
	rec.Log("what clients got: %v", ends)
	rec.Log("MIXED: %d successes whose body is not the host's whole body", mixed)
	if mixed > 0 {
		return broken
	}
	return passed
}

// hostProcess is a host as a process of its own. It answers without a length, and ends each connection with its answer.
func hostProcess(id, address string) int {
	h := &Host{ID: id, Address: address, conns: map[net.Conn]bool{}}
	h.Handle = func(_ *Host, c net.Conn, _ *bufio.Reader, req *http.Request, _ []byte) bool {
		request := req.Header.Get("Request-Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: 3e1b.%s\r\nConnection: close\r\n\r\n", request, id)
		for rest := completeAnswer(request); rest != ""; rest = rest[min(chunkBytes, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(chunkBytes, len(rest))]); err != nil {
				return false
			}
			time.Sleep(chunkTime)
		}
		return false
	}
	if err := h.Listen(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	select {}
}

// completeAnswer returns the whole body of the answer to a request.
func completeAnswer(id string) string { return strings.Repeat(id, answerBytes/len(id)) }

// fetch sends a request on a connection of its own, and returns the answer. The error is nil if the answer is complete
// by HTTP/1.1: it has all bytes of its length, or its last chunk.
func fetch(front, id string) (status int, seal string, body []byte, err error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, "", nil, err
	}
	defer c.Close()
	if _, err = io.WriteString(c, requestText("/pule252/2f", id, "a lookup", 5*time.Second, "")); err != nil {
		return 0, "", nil, err
	}
	c.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	body, err = io.ReadAll(resp.Body)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err = fmt.Errorf("neither length nor chunks")
	}
	return resp.StatusCode, resp.Header.Get("Response-Seal"), body, err
}
