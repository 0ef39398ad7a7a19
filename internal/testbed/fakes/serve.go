package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
)

const (
	maxBodyBytes      = 256 << 10
	tokensPerEvent    = 4
	bytesPerToken     = 4   // body bytes per prompt token, if the request does not state its prompt tokens
	defaultMeanTokens = 100 // mean answer length in tokens, if the request does not state one
	defaultMaxTokens  = 800 // largest answer in tokens; a request may state a lower limit
)

// The formats of the events in an answer's stream. garbageLine is no valid event; the fault Garbage
// inserts it.
const (
	contentEvent = `data: {"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}` + "\n\n"
	finishEvent  = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	usageEvent   = `data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}` + "\n\n"
	reportEvent  = ": %s: %s\n\n"
	doneEvent    = "data: [DONE]\n\n"
	garbageLine  = "\x00\x01 no event at all\n"
)

// TokenCheck checks the fencing token of a request under a singleton role. accepted is false if the
// check has seen a higher token, which it then returns as highest. conn is the peer address of the
// request's connection.
type TokenCheck func(role string, token uint64, conn string) (highest uint64, accepted bool)

// CheckFencingTokens sets the check that each later request under a singleton role must pass.
func (h *Host) CheckFencingTokens(check TokenCheck) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkToken = check
}

// rejectStaleToken rejects a request whose fencing token is malformed or lower than one seen before.
// It reports whether it rejected the request.
func (h *Host) rejectStaleToken(w http.ResponseWriter, r *http.Request) bool {
	role, tokenText, hasRole := strings.Cut(r.Header.Get(protocol.HeaderFencingToken), " ")
	h.mu.Lock()
	check := h.checkToken
	h.mu.Unlock()
	if !hasRole || check == nil {
		return false
	}
	token, err := strconv.ParseUint(tokenText, 10, 64)
	if err != nil {
		http.Error(w, protocol.HeaderFencingToken+" has no token", http.StatusBadRequest)
		return true
	}
	highest, accepted := check(role, token, r.RemoteAddr)
	if accepted {
		return false
	}
	w.Header().Set(protocol.HeaderFencingToken, strconv.FormatUint(highest, 10))
	http.Error(w, "another has the duty by now", http.StatusConflict)
	return true
}

// completionRequest has the fields of a request's body that the model needs. A real host would
// compute some of them from the text. They are in the body because a router forwards the body but
// only few headers.
type completionRequest struct {
	MaxTokens int    `json:"max_tokens"`
	Out       int    `json:"lab_out"` // actual length of the answer, in tokens
	Prompt    int    `json:"lab_prompt"`
	Session   string `json:"lab_session"`
	Prefix    string `json:"lab_prefix"`
	Shared    int    `json:"lab_shared"`
}

// handleCompletion answers a request for a completion.
func (h *Host) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(protocol.HeaderID)
	if id == "" {
		http.Error(w, protocol.HeaderID+" is missing", http.StatusNotFound)
		return
	}
	if h.rejectStaleToken(w, r) {
		return
	}
	request := parseRequest(id, body)
	results, ok := h.begin(&request, r.RemoteAddr)
	if !ok {
		http.Error(w, "an attempt of this request is here already", http.StatusBadRequest)
		return
	}
	defer h.end(id, r.RemoteAddr, results)
	h.streamAnswer(r.Context(), w, &request, results)
}

// begin gives the model a request and returns the channel of its results. ok is false if the host
// already has an attempt of the request in flight.
func (h *Host) begin(request *hostmodel.Request, conn string) (results chan hostmodel.Result, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attempts[request.ID] != nil {
		return nil, false
	}
	results = make(chan hostmodel.Result, maxBufferedResults)
	h.attempts[request.ID] = results
	h.observe(RequestReceived, request.ID, conn)
	h.step(hostmodel.Arrive{Request: *request})
	return results, true
}

// end reports the end of an attempt to the observer and cancels the attempt if the model still works
// on it.
func (h *Host) end(id, conn string, results chan hostmodel.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(RequestDone, id, conn)
	if h.attempts[id] == results {
		delete(h.attempts, id)
		h.step(hostmodel.Cancel{ID: id})
	}
}

// parseRequest reads the model's request from a body. If the body does not state the prompt length,
// parseRequest derives it from the size of the body. If the body does not state the answer length,
// parseRequest draws one, seeded by the request's id. A body that isn't JSON states nothing.
func parseRequest(id string, body []byte) hostmodel.Request {
	var stated completionRequest
	json.Unmarshal(body, &stated)
	request := hostmodel.Request{
		ID:              id,
		Session:         stated.Session,
		Prefix:          stated.Prefix,
		PrefixTokens:    stated.Shared,
		PromptTokens:    stated.Prompt,
		AnswerTokens:    stated.Out,
		MaxAnswerTokens: defaultMaxTokens,
	}
	if stated.Prompt <= 0 {
		request.PromptTokens = max(len(body)/bytesPerToken, 1)
	}
	if stated.MaxTokens > 0 {
		request.MaxAnswerTokens = min(request.MaxAnswerTokens, stated.MaxTokens)
	}
	if request.AnswerTokens <= 0 {
		hash := fnv.New64a()
		io.WriteString(hash, id)
		rng := rand.New(rand.NewPCG(hash.Sum64(), 1))
		request.AnswerTokens = int(defaultMeanTokens * (0.3 + 1.4*rng.Float64()))
	}
	request.AnswerTokens = max(min(request.AnswerTokens, request.MaxAnswerTokens), 1)
	return request
}

// answerStream writes the answer of one request as a stream with up to tokensPerEvent tokens per
// event.
type answerStream struct {
	host    *Host
	ctx     context.Context
	w       http.ResponseWriter
	request *hostmodel.Request
	made    int // tokens of the answer so far
	cached  int // prompt tokens found in the prefix cache
	pending strings.Builder
}

// streamAnswer writes the model's results for a request as they arrive, until the request ends or is
// rejected, or ctx ends.
func (h *Host) streamAnswer(ctx context.Context, w http.ResponseWriter, request *hostmodel.Request, results <-chan hostmodel.Result) {
	s := &answerStream{host: h, ctx: ctx, w: w, request: request}
	for {
		var r hostmodel.Result
		var ok bool
		select {
		case r, ok = <-results:
		case <-ctx.Done():
			return
		}
		if !ok || r.Kind == hostmodel.Interrupted {
			panic(http.ErrAbortHandler) // resets the connection
		}
		switch r.Kind {
		case hostmodel.Rejected:
			s.reject()
			return
		case hostmodel.Token:
			s.addToken(r.CachedTokens)
		case hostmodel.LastToken:
			s.finish()
			return
		}
	}
}

// reject answers that the host had no capacity and did not process the request.
func (s *answerStream) reject() {
	s.host.forget(s.request.ID)
	s.w.Header().Set(protocol.HeaderUnprocessed, "1")
	s.w.Header().Set(protocol.HeaderLoad, s.host.loadReport())
	http.Error(s.w, "turned away", http.StatusServiceUnavailable)
}

// addToken adds a token to the answer. The first token is sent at once.
func (s *answerStream) addToken(cachedTokens int) {
	s.made++
	if s.made == 1 {
		s.cached = cachedTokens
		s.w.Header().Set("Content-Type", "text/event-stream")
	}
	fmt.Fprintf(&s.pending, "t%d ", s.made)
	if s.made == 1 || s.made%tokensPerEvent == 0 {
		s.flush()
	}
}

// flush writes the pending tokens as an event. During the fault Stall it first waits for the end of
// the fault; during Garbage it first writes an invalid line.
func (s *answerStream) flush() {
	if s.pending.Len() == 0 {
		return
	}
	switch misbehavior, ended := s.host.currentMisbehavior(); misbehavior {
	case faults.Stall:
		select {
		case <-ended:
		case <-s.ctx.Done():
		}
	case faults.Garbage:
		io.WriteString(s.w, garbageLine)
	}
	fmt.Fprintf(s.w, contentEvent, s.pending.String())
	http.NewResponseController(s.w).Flush()
	s.pending.Reset()
}

// finish ends the stream with the usage and the host's load report.
func (s *answerStream) finish() {
	s.host.forget(s.request.ID)
	s.flush()
	fmt.Fprintf(s.w, finishEvent+usageEvent+reportEvent+doneEvent,
		s.request.PromptTokens, s.made, s.cached, protocol.HeaderLoad, s.host.loadReport())
}

// forget removes an attempt that the model has already ended.
func (h *Host) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.attempts, id)
}

// loadReport returns the host's load in wire format.
func (h *Host) loadReport() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.model.Load(time.Since(h.start))
	return formatReport(&l)
}

func formatReport(l *hostmodel.Load) string {
	return fmt.Sprintf(`{"inflight":%d,"queue":%d,"util":%.3f,"x0":%.3f,"x1":%.3f}`, l.Running, l.Waiting, l.Utilization, l.Memory, l.PrefillThousands)
}

// handleLoad answers a health check. On the path of load reports, it adds a load report.
func (h *Host) handleLoad(w http.ResponseWriter, r *http.Request) {
	status, report := h.checkHealth()
	w.WriteHeader(status)
	if r.URL.Path == protocol.PathLoad {
		io.WriteString(w, report)
	}
}

// checkHealth sends the model a health check. It returns status 200 and a load report if the model
// answers at once, else status 503.
func (h *Host) checkHealth() (status int, report string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes++
	id := "probe" + strconv.Itoa(h.probes)
	status = http.StatusServiceUnavailable
	for _, result := range h.step(hostmodel.Probe{ID: id}) {
		if result.Kind == hostmodel.ProbeAnswered && result.ID == id {
			status, report = http.StatusOK, formatReport(&result.Load)
		}
	}
	return status, report
}
