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
	bytesPerToken     = 4   // of a prompt whose request does not state its tokens
	defaultMeanTokens = 100 // of an answer whose request does not state its length
	defaultMaxTokens  = 800 // the limit of an answer
)

// The events of an answer's stream.
const (
	contentEvent = `data: {"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}` + "\n\n"
	finishEvent  = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	usageEvent   = `data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}` + "\n\n"
	reportEvent  = ": %s: %s\n\n"
	doneEvent    = "data: [DONE]\n\n"
	garbageLine  = "\x00\x01 no event at all\n"
)

// TokenCheck judges a request under a singleton role by its fencing token: accepted is false if a
// higher token was seen, which the check then returns. conn is the other end of the connection.
type TokenCheck func(role string, token uint64, conn string) (highest uint64, accepted bool)

// CheckFencingTokens has each request under a singleton role pass a check first.
func (h *Host) CheckFencingTokens(check TokenCheck) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkToken = check
}

// rejectStaleToken answers a request whose fencing token is malformed or older than one seen
// before, and reports whether it did.
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

// completionRequest is what a request's body states for the model. A router passes on the body but
// few headers, so what a real host would compute from the text stands in fields of its own.
type completionRequest struct {
	MaxTokens int    `json:"max_tokens"`
	Out       int    `json:"lab_out"` // true length of the answer, in tokens
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

// begin gives the model a request. ok is false if an attempt of it is in flight here.
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

// end observes the end of an attempt, and cancels it if the model still works on it.
func (h *Host) end(id, conn string, results chan hostmodel.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(RequestDone, id, conn)
	if h.attempts[id] == results {
		delete(h.attempts, id)
		h.step(hostmodel.Cancel{ID: id})
	}
}

// parseRequest reads what the model needs from a body. Where the body does not state it, a drawn
// length by the request's id stands in; a body that isn't JSON states nothing.
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

// answerStream writes the answer of one request, an event for each few tokens.
type answerStream struct {
	host    *Host
	ctx     context.Context
	w       http.ResponseWriter
	request *hostmodel.Request
	made    int // tokens
	cached  int // tokens of the prompt that the prefix cache had
	pending strings.Builder
}

// streamAnswer writes the model's results for a request as they come, until its end, its rejection
// or the end of ctx.
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

// reject answers that the host had no capacity and did nothing.
func (s *answerStream) reject() {
	s.host.forget(s.request.ID)
	s.w.Header().Set(protocol.HeaderUnprocessed, "1")
	s.w.Header().Set(protocol.HeaderLoad, s.host.loadReport())
	http.Error(s.w, "turned away", http.StatusServiceUnavailable)
}

// addToken adds a token to the answer. The first one goes out at once.
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

// flush writes the pending tokens as an event, after what a fault of the host's sockets does to it.
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

// forget ends an attempt that the model has ended by itself.
func (h *Host) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.attempts, id)
}

// loadReport is the host's load as it goes over the wire.
func (h *Host) loadReport() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.model.Load(time.Since(h.start))
	return formatReport(&l)
}

func formatReport(l *hostmodel.Load) string {
	return fmt.Sprintf(`{"inflight":%d,"queue":%d,"util":%.3f,"x0":%.3f,"x1":%.3f}`, l.Running, l.Waiting, l.Utilization, l.Memory, l.PrefillThousands)
}

// handleLoad answers a health check, with a load report on the path of reports.
func (h *Host) handleLoad(w http.ResponseWriter, r *http.Request) {
	status, report := h.checkHealth()
	w.WriteHeader(status)
	if r.URL.Path == protocol.PathLoad {
		io.WriteString(w, report)
	}
}

// checkHealth asks the model whether it answers a health check at once.
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
