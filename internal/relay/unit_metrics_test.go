package relay

import (
	"bytes"
	"fmt"
	"net"
	"testing"

	"larchrouter/choice"
)

// Guards against outages that operators cannot see in the metrics.
func TestMetricsCountOutages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close() // connections to this address are refused
	r := startRelay(t, newFakePlatform(t, testEndpoint("s-1", listener.Addr().String(), "taller")), withAdminAddr)
	for i := range 3 {
		postMessage(t, r.Addr(), fmt.Sprint("m", i), "status-update")
	}
	awaitMetrics(t, r, "svc.outages.begun=1", "svc.outages.short=0", "svc.outages.slow_starts=0", "svc.outages.slow_start_sent=0")
}

func TestUnitMetricsTellHowOutagesEnd(t *testing.T) {
	var m unitMetrics
	for _, change := range []choice.UnitChange{
		{From: choice.Healthy, To: choice.Suspect}, {From: choice.Suspect, To: choice.Healthy},
		{From: choice.Healthy, To: choice.Suspect}, {From: choice.Suspect, To: choice.Recovering},
		{From: choice.Recovering, To: choice.Suspect}, {From: choice.Suspect, To: choice.Recovering},
		{From: choice.Recovering, To: choice.Healthy},
	} {
		m.countChange(change)
	}
	for _, state := range []choice.UnitState{choice.Healthy, choice.Suspect, choice.Recovering, choice.Recovering} {
		m.countSend(state)
	}
	var text bytes.Buffer
	m.appendText(&text)
	want(t, "text", text.String(), "svc.outages.begun=3\nsvc.outages.short=1\nsvc.outages.slow_starts=2\nsvc.outages.warmed_up=1\n"+
		"svc.outages.trials=1\nsvc.outages.slow_start_sent=2\n")
}
