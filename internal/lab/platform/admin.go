package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Metrics reads the metrics of a relay at its admin address. It returns an error if one of them is not a number.
func Metrics(ctx context.Context, addr string) (map[string]float64, error) {
	status, body, err := adminRequest(ctx, "GET", addr, "/metrics")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("/metrics: status %d", status)
	}
	metrics := map[string]float64{}
	for line := range bytes.Lines(body) {
		name, value, ok := strings.Cut(strings.TrimSpace(string(line)), "=")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("/metrics: malformed line %q", line)
		}
		metrics[name] = v
	}
	return metrics, nil
}

// Ready reports whether a relay answers at its admin address that it is ready to serve.
func Ready(ctx context.Context, addr string) bool {
	status, _, err := adminRequest(ctx, "GET", addr, "/ready")
	return err == nil && status/100 == 2
}

// SetDisabled has an operator disable or enable an endpoint at a relay, at the relay's admin address. It returns the status of
// the answer.
func SetDisabled(ctx context.Context, addr, endpoint string, disabled bool) (status int, err error) {
	action := "enable"
	if disabled {
		action = "disable"
	}
	status, _, err = adminRequest(ctx, "PUT", addr, "/endpoints/"+action+"/"+ListedID(endpoint))
	return status, err
}

// adminClient opens a connection for each call.
var adminClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func adminRequest(ctx context.Context, method, addr, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, body, err
}
