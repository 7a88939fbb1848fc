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

// singleResult returns the result of an answer that applies to the whole call. batch tells whether the call had several
// messages.
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

// parseMemberStatus returns the result for the status of one message in the answer to a call with several messages.
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

// parseBatchResults parses the answer to a call with several messages, and returns the result of each id. A message
// that the answer does not mention, or mentions with different statuses, may have run.
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

// parseRetryAfter returns the wait of a Retry-After header: seconds, whole or decimal, rounded up to milliseconds, 1
// hour at most. It is 0 if there is no valid wait.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(math.Ceil(min(seconds, 3600)*1000)) * time.Millisecond
}

// parseLoadReport parses a host's load report into the values of the given fields, if the settings name any. It returns
// nil for a report that cannot be parsed.
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

// loadReportOf parses a call's load report with the settings that are in effect when the Chooser receives it: they may
// have changed since the call was started.
func (r *Relay) loadReportOf(feedback hostFeedback) []float64 {
	if feedback.loadReport == "" {
		return nil
	}
	return parseLoadReport(feedback.loadReport, r.settings.Load().ReportFields)
}

// appendFrame appends a message in the format of a call with several messages.
func appendFrame(body []byte, m *message) []byte {
	return fmt.Appendf(body, "%s %s %d\r\n%s\r\n", m.ID, cmp.Or(m.Key, "-"), len(m.Body), m.Body)
}

// frameSize returns the number of bytes that appendFrame appends.
func frameSize(m *message) int {
	var digits [8]byte
	length := len(strconv.AppendInt(digits[:0], int64(len(m.Body)), 10))
	return len(m.ID) + len(cmp.Or(m.Key, "-")) + length + len(m.Body) + len("  \r\n\r\n")
}
