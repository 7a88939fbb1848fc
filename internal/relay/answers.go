package relay

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
)

// single reads an answer that holds for the whole call.
func singleResult(resp *http.Response, batch bool) memberResult {
	switch resp.StatusCode {
	case http.StatusOK:
		return memberResult{outcome: choice.Served}
	case http.StatusTooManyRequests:
		return memberResult{outcome: choice.Refused}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Over-Slots") == "1" {
			return memberResult{outcome: choice.NotSent}
		}
		return memberResult{outcome: choice.Refused}
	case http.StatusGatewayTimeout:
		return memberResult{outcome: choice.NotSent}
	case http.StatusGone:
		return memberResult{outcome: choice.NotSent, done: true}
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		if batch {
			return memberResult{outcome: choice.NotSent}
		}
	}
	return memberResult{outcome: choice.Error}
}

// toldOf reads what the answer of a call with several messages tells of one.
func parseMemberStatus(status string) memberResult {
	switch status {
	case "ok":
		return memberResult{outcome: choice.Served}
	case "later":
		return memberResult{outcome: choice.Refused}
	case "gone":
		return memberResult{outcome: choice.NotSent, done: true}
	case "exhausted":
		return memberResult{outcome: choice.NotSent}
	}
	return memberResult{outcome: choice.Error}
}

// batchEnds reads the answer of a call with several messages. One that is not told of, or is told of in two ways, may have run.
func parseBatchResults(body []byte, ids []string) []memberResult {
	byID := map[string]memberResult{}
	for line := range strings.Lines(string(body)) {
		id, status, _ := strings.Cut(strings.TrimSpace(line), " ")
		result := parseMemberStatus(strings.TrimSpace(status))
		if previous, repeated := byID[id]; repeated && previous != result {
			result = memberResult{outcome: choice.Error}
		}
		byID[id] = result
	}
	results := make([]memberResult, len(ids))
	for i, id := range ids {
		result, ok := byID[id]
		if !ok {
			result = memberResult{outcome: choice.Error}
		}
		results[i] = result
	}
	return results
}

// retryAfter reads a wait in seconds, whole or decimal, rounded up to milliseconds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(math.Ceil(min(seconds, 3600)*1000)) * time.Millisecond
}

// loadReport reads what a host tells of its load, where the settings say that answers tell
// it. A report that cannot be read is none.
func parseLoadReport(text string, fields []string) []float64 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	var values map[string]float64
	if json.Unmarshal([]byte(text), &values) != nil {
		return nil
	}
	report := make([]float64, len(fields))
	for i, name := range fields {
		report[i] = values[name]
	}
	return report
}

// reportOf reads a call's report by the settings that the decisions go by when they hear of it: others may have been
// taken up since the call began.
func (r *Relay) loadReportOf(feedback hostFeedback) []float64 {
	if feedback.loadReport == "" {
		return nil
	}
	return parseLoadReport(feedback.loadReport, r.settings.Load().ReportFields)
}

// appendFrame adds a message as it stands in the body of a call with several.
func appendFrame(body []byte, m *message) []byte {
	return fmt.Appendf(body, "%s %s %d\r\n%s\r\n", m.ID, cmp.Or(m.Key, "-"), len(m.Body), m.Body)
}

// frameSize is how much appendFrame adds.
func frameSize(m *message) int {
	var digits [8]byte
	length := len(strconv.AppendInt(digits[:0], int64(len(m.Body)), 10))
	return len(m.ID) + len(cmp.Or(m.Key, "-")) + length + len(m.Body) + len("  \r\n\r\n")
}
