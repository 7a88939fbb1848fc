package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

const (
	maxBodyBytes      = 64 << 10         // of a message
	maxNameBytes      = 200              // bytes of an id or a key
	maxDeadline       = 24 * time.Hour   // a longer deadline is considered a mistake
	defaultRetryAfter = time.Second      // if the chooser gives no advice
	idleConnTimeout   = 60 * time.Second // of a client's connection
	// requestTimeout limits how long a complete request may take, counted from the start of the connection. A client
	// that sends too little has to be disconnected within 3 s, and others need its place: clients stop waiting after
	// 400 ms.
	requestTimeout = 2200 * time.Millisecond
)

// apiRequest is a submitted message whose client waits to learn whether it is accepted.
type apiRequest struct {
	entry *journal.Entry
	due   time.Duration   // when the message's time is up, on the relay's clock
	ctx   context.Context // of the client's request
	reply chan apiResponse
}

// apiResponse is the answer to a submitted message.
type apiResponse struct {
	status     int
	retryAfter time.Duration // Retry-After header; 0 for none
	text       string
}

// serveAPI handles the submission of a message. It responds once the message is accepted or rejected.
func (r *Relay) serveAPI(w http.ResponseWriter, req *http.Request) {
	arrivedAt := r.now() - sinceArrival(netConnOf(req))
	apiReq, status, err := r.readAPIRequest(req, arrivedAt)
	if err != nil {
		closeAfterMalformed(w, req)
		if status == http.StatusServiceUnavailable {
			setRetryAfter(w, defaultRetryAfter)
		}
		http.Error(w, err.Error(), status)
		return
	}
	if inboundConnOf(req).clientHasLeft() {
		r.refuseLeftClient(w, apiReq.entry.ID)
		return
	}
	r.post(func() { r.submit(apiReq) })
	var response apiResponse
	select {
	case response = <-apiReq.reply:
	case <-r.loopEnded: // what the loop has answered before it ended is valid: it is in the record
		select {
		case response = <-apiReq.reply:
		default:
			response = apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "stopping"}
		}
	}
	if response.status == http.StatusAccepted && leftWithoutAnswer(req) {
		response = r.responseAfterDisconnect(apiReq)
	}
	r.closeIfStopping(w)
	if response.retryAfter > 0 {
		setRetryAfter(w, response.retryAfter)
	}
	if response.status == http.StatusAccepted {
		markSubmitter(req)
		w.WriteHeader(response.status)
		return
	}
	http.Error(w, response.text, response.status)
}

// setRetryAfter sets the time after which a client may send its message again.
func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// readAPIRequest reads and checks a request. The error text and the status are for the client.
func (r *Relay) readAPIRequest(req *http.Request, arrivedAt time.Duration) (*apiRequest, int, error) {
	badRequest := func(text string) (*apiRequest, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	entry := &journal.Entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key"), Tenant: req.Header.Get("X-Tenant")}
	if !isValidName(entry.ID) {
		return badRequest("X-Request-Id is missing or malformed")
	}
	if active := r.settingsAtRequestStart(req); active != nil { // nil: the next process may have other classes
		terms, err := messageTerms(active, entry, arrivedAt)
		if err != nil {
			return badRequest(err.Error())
		}
		entry.Terms = terms
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return badRequest("X-Deadline-Ms is missing or malformed")
	}
	if len(entry.Tenant) > maxNameBytes {
		return badRequest("X-Tenant is too long")
	}
	dest, ok := parseDest(req.Header.Get("X-Addressing"))
	if !ok {
		return badRequest("X-Addressing is missing or malformed")
	}
	entry.Dest = dest
	body, status, err := readBody(req)
	if err != nil {
		return nil, status, err
	}
	entry.Body = body
	timeLeft := time.Duration(ms) * time.Millisecond
	entry.Due = steady.Now().Add(timeLeft - (r.now() - arrivedAt)).UnixMilli()
	return &apiRequest{entry: entry, due: arrivedAt + timeLeft, ctx: req.Context(), reply: make(chan apiResponse, 1)}, 0, nil
}

// readBody reads the body of a request, whose length is known. The error text and the status are for the client.
func readBody(req *http.Request) (body []byte, status int, err error) {
	if req.ContentLength > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is over 64 KiB")
	}
	conn := inboundConnOf(req)
	if !conn.beginBody(req.ContentLength) {
		return nil, http.StatusServiceUnavailable, errNoMemory
	}
	body = make([]byte, max(0, req.ContentLength))
	_, err = io.ReadFull(req.Body, body)
	if conn.endBody() {
		return nil, http.StatusServiceUnavailable, errNoMemory
	}
	if err != nil {
		return nil, http.StatusBadRequest, errors.New("body could not be read")
	}
	return body, 0, nil
}

// settingsAtRequestStart returns the settings that apply to a request: those in effect when its first byte arrived,
// since its client wrote it under these. It returns nil for a request that only the next process can check.
func (r *Relay) settingsAtRequestStart(req *http.Request) *activeSettings {
	if active, ok := inboundConnOf(req).settingsAtRequestStart().(*activeSettings); ok {
		return active
	}
	return r.currentSettings()
}

// currentSettings returns the settings that apply to a request which begins now, or nil after the handover to the
// next process.
func (r *Relay) currentSettings() *activeSettings {
	if r.handedOverAt.Load() > 0 {
		return nil
	}
	return r.settings.Load()
}

// messageTerms returns the terms of a message's class, or an error for the client if the message does not meet the
// class's requirements.
func messageTerms(active *activeSettings, entry *journal.Entry, now time.Duration) (*choice.Terms, error) {
	terms := active.termsFor(entry.Class, entry.Key != "", now)
	switch {
	case terms == nil:
		return nil, errors.New("X-Class is missing or unknown")
	case entry.Key != "" && !isValidName(entry.Key):
		return nil, errors.New("Idempotency-Key is malformed")
	case entry.Key == "" && terms.Class.Effect == choice.Keyed:
		return nil, errors.New("Idempotency-Key is missing")
	}
	return terms, nil
}

// isValidName reports whether a text can stand in a header and in a line of /receive-many.
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// parseDest parses the number of the destination.
func parseDest(s string) (int, bool) {
	for part := range strings.FieldsFuncSeq(s, func(c rune) bool { return c == ';' || c == ',' || c == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil && n >= 0
		}
	}
	return 0, false
}

// submit decides, with the next step of the loop, whether a message is accepted.
func (r *Relay) submit(apiReq *apiRequest) {
	id, active := apiReq.entry.ID, r.settings.Load()
	var err error
	if apiReq.entry.Terms == nil { // the previous process forwarded it; the settings of this process apply
		apiReq.entry.Terms, err = messageTerms(active, apiReq.entry, r.now())
	}
	refusal := apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "no room"}
	switch {
	case r.nextProcess != nil:
		r.forward(apiReq)
	case len(r.handoverRequests) > 0 && r.replication != nil: // the next process has to receive all that counts first
		r.deferredRequests = append(r.deferredRequests, apiReq)
	case r.pending[id] != nil: // the client sent it again after its connection broke
		msg := r.pending[id]
		msg.resent = true
		if msg.unanswered == nil {
			apiReq.reply <- apiResponse{status: http.StatusAccepted}
		} else {
			msg.unanswered = append(msg.unanswered, apiReq)
		}
	case r.answerStoredDuplicate(apiReq):
	case r.endedIDs.has(id):
		apiReq.reply <- apiResponse{status: http.StatusAccepted}
	case r.journal.Entry(id) != nil:
		r.respondRecorded(apiReq, r.journal.Entry(id))
	case apiReq.ctx.Err() != nil: // the client has disconnected; its handler still waits and occupies the connection
		r.noteRefusal(id, refusedClientLeft)
		apiReq.reply <- refusal
	case err != nil:
		apiReq.reply <- apiResponse{status: http.StatusBadRequest, text: err.Error()}
	case r.destWaits[apiReq.entry.Dest] == nil:
		r.metrics.countOutcome(apiReq.entry.Class, outcomeFailed)
		apiReq.reply <- apiResponse{status: http.StatusNotFound, text: "unknown destination"}
	case r.refusalOf(apiReq, active) != notRefused:
		r.metrics.countOutcome(apiReq.entry.Class, outcomeRefused)
		r.noteRefusal(id, r.refusalOf(apiReq, active))
		apiReq.reply <- refusal
	case r.queueForDisk(apiReq):
	default:
		if r.replication != nil {
			apiReq.entry.Group = r.replication.main
		}
		due := apiReq.due - r.endMargin(apiReq.due-r.now())
		msg := &message{Entry: apiReq.entry, due: due, unanswered: []*apiRequest{apiReq}}
		r.pending[id] = msg
		r.overflow.enter(msg)
		r.newMessages = append(r.newMessages, msg)
		r.events = append(r.events, choice.Arrival{ID: id, Class: -1, Dest: apiReq.entry.Dest, Terms: apiReq.entry.Terms,
			Left: due - r.now(), Key: apiReq.entry.OrderKey, Tenant: slices.Index(active.TenantNames, apiReq.entry.Tenant)})
	}
}
