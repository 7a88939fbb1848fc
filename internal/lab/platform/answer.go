package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"larchrouter/internal/lab/history"
)

// answer sends the answer to a call and records when it was written to the relay, or that the relay had closed its connection.
func (e *endpoint) answer(j *job, status int, wait time.Duration) {
	d, p := e.dest, e.dest.partners
	header := ""
	if wait > 0 {
		wait = wait.Round(time.Millisecond)
		header = fmt.Sprintf("Retry-After: %.3f\r\n", wait.Seconds())
	}
	d.mu.Lock()
	drained := e.drained
	if !drained {
		header += e.loadHeader()
	}
	garbled := status < 400 && e.faults.GarbledShare > 0 && d.rand.Float64() < e.faults.GarbledShare
	text, garbledStatus := "", 0
	if garbled {
		text, garbledStatus = garbledAnswer(d.rand, j.batch)
	}
	d.mu.Unlock()
	var body []byte
	if j.batch && status == 200 {
		for _, id := range j.ids {
			body = append(body, id+" ok\r\n"...)
		}
	}
	written := func(at int64, ok bool) {
		e := history.Event{At: at, Kind: history.CallAnswered, Relay: j.relay, Call: j.call, Status: status, WaitMs: wait.Milliseconds()}
		if garbled {
			e.Status, e.Detail = garbledStatus, history.Unreadable
		}
		if gone := j.conn.PeerClosedAt(); gone > 0 && gone <= at { // the relay closed the connection before the answer
			e = history.Event{At: gone, Kind: history.CallAbandoned, Relay: j.relay, Call: j.call}
		}
		if ok || e.Kind == history.CallAbandoned {
			p.Record(e)
		}
		j.done()
	}
	if !garbled {
		respond(j.conn, status, header, body, written)
		return
	}
	j.conn.Send([]byte(text), written)
	j.conn.Close()
}

// garbledAnswer returns an answer that cannot be parsed, and the status that its first line still conveys: 200 if that line
// is valid and the call had a single message, else 0.
func garbledAnswer(r *rand.Rand, batch bool) (text string, status int) {
	noise := make([]byte, 20+r.IntN(200))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	switch r.IntN(6) {
	case 0:
		return string(noise), 0
	case 1:
		return "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", 0
	case 2:
		return "HTTP/1.1 200"[:5+r.IntN(7)], 0
	case 3:
		text = ok + "Content-Length: many\r\n\r\n"
	case 4:
		text = ok + "Content-Length: 500\r\n\r\n" + string(noise)
	default:
		text = ok + "\x00" + string(noise) + "\r\n\r\n"
	}
	if batch {
		return text, 0
	}
	return text, 200
}

// loadHeader returns the X-Load header of an answer. The report is refreshed at most once in Draw.ReportEvery seconds and
// carries noise; it is empty for destinations without a rate limit. The destination's lock must be held.
func (e *endpoint) loadHeader() string {
	d := e.dest
	if d.Rate <= 0 {
		return ""
	}
	if now := time.Now(); now.Sub(e.loadReportedAt).Seconds() > d.partners.Draw.ReportEvery {
		noise := func() float64 { return 1 + d.partners.Draw.ReportNoise*d.rand.NormFloat64() }
		data, err := json.Marshal(map[string]float64{"x0": max(0, d.remainingShare()*noise()), "x1": max(0, d.Rate*noise())})
		if err != nil {
			return ""
		}
		e.loadReport, e.loadReportedAt = "X-Load: "+string(data)+"\r\n", now
	}
	return e.loadReport
}
