package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Validation of scenarios.

// Check returns all errors of a scenario, joined; each of them is an *Error with its key.
func (s *Scenario) Check() error {
	var problems []error
	addError := func(key, format string, args ...any) {
		problems = append(problems, &Error{Key: key, Err: fmt.Errorf(format, args...)})
	}
	checkRange := func(key string, value, minimum, maximum float64) {
		if !(value >= minimum && value <= maximum) {
			addError(key, "is %g, must be %g to %g", value, minimum, maximum)
		}
	}
	if s.Duration < Duration(time.Second) || s.Duration > Duration(24*time.Hour) {
		addError("duration", "is %s, must be 1s to 24h", s.Duration)
	}
	checkRange("fleet.relays", float64(s.Fleet.Relays), 1, 1000)
	if !slices.Contains([]int{0, 1, 3, 5}, s.Fleet.Keepers) {
		addError("fleet.keepers", "is %d, must be 0, 1, 3 or 5", s.Fleet.Keepers)
	}
	checkRange("fleet.lease (seconds)", time.Duration(s.Fleet.Lease).Seconds(), 0.5, 600)
	if len(s.Fleet.Zones) == 0 || slices.Contains(s.Fleet.Zones, "") {
		addError("fleet.zones", "must name at least one zone, and none may be empty")
	}
	if s.Fleet.Copies < 0 || s.Fleet.Copies > 4 {
		addError("fleet.copies", "is %d, must be 0 to 4", s.Fleet.Copies)
	}
	if s.Fleet.Copies > 0 && s.Fleet.Keepers == 0 {
		addError("fleet.copies", "needs fleet.keepers: they agree on which relays store the copies")
	}
	if !slices.Contains([]string{"", "refuse", "own-disk"}, s.Fleet.Short) {
		addError("fleet.short", "is %q, must be refuse or own-disk", s.Fleet.Short)
	}
	checkRange("fleet.memory-mb", s.Fleet.MemoryMB, 8, 1<<20)
	checkRange("fleet.sockets", float64(s.Fleet.Sockets), 32, 1<<20)
	checkRange("fleet.disk-mb", s.Fleet.DiskMB, 0.1, 1<<20)
	checkRange("fleet.backlog-mb", s.Fleet.BacklogMB, 0, 1<<20)
	if s.Fleet.BacklogMB > 0 && s.Fleet.BacklogMB+1 > s.Fleet.DiskMB {
		addError("fleet.backlog-mb", "is %g of disk-mb %g, but the journal needs 1 MB at least", s.Fleet.BacklogMB, s.Fleet.DiskMB)
	}
	if s.Fleet.BacklogMB > 0 && s.Fleet.Copies > 0 {
		addError("fleet.backlog-mb", "does not go with fleet.copies: replicas would not have the messages that are on disk")
	}
	checkRange("fleet.shared-cores", float64(s.Fleet.SharedCores), 0, 1024)
	checkRange("fleet.cores", s.Fleet.Cores, 0.05, 1024)
	checkRange("platform.destinations", float64(s.Platform.Destinations), 1, 1000)
	checkRange("platform.endpoints", float64(s.Platform.Endpoints), 1, 100)
	checkRange("platform.latency (seconds)", time.Duration(s.Platform.Latency).Seconds(), 0.001, 60)
	checkRange("platform.limit", s.Platform.Limit, 0, 1e6)
	checkRange("platform.queue (seconds)", time.Duration(s.Platform.Queue).Seconds(), 0, 60)
	checkRange("platform.cold (seconds)", time.Duration(s.Platform.Cold).Seconds(), 0.1, 3600)
	checkRange("load.rate", s.Load.Rate, 0, 1e5)
	checkRange("load.burst", s.Load.Burst, 1, 100)
	checkRange("load.deadline (seconds)", time.Duration(s.Load.Deadline).Seconds(), 0.1, 3600)
	checkRange("load.clients", float64(s.Load.Clients), 1, 10000)
	checkRange("load.early", s.Load.Early, 0, 1)
	checkRange("load.clump", float64(s.Load.Clump), 1, 1000)
	checkRange("load.pipelined", s.Load.Pipelined, 0, 1)
	checkRange("load.half-closed", s.Load.HalfClosed, 0, 1)
	checkRange("load.strangers", s.Load.Strangers, 0, 1000)
	checkRange("load.crowd", float64(s.Load.Crowd), 0, 2000)
	if len(s.Load.Classes) == 0 {
		addError("load.classes", "must name at least one of %s", strings.Join(ClassKinds, ", "))
	}
	for i, class := range s.Load.Classes {
		if !slices.Contains(ClassKinds, class) || slices.Contains(s.Load.Classes[:i], class) {
			addError("load.classes", "%q is not one of %s, or is repeated", class, strings.Join(ClassKinds, ", "))
		}
	}
	for i, fault := range s.Faults {
		key := fmt.Sprintf("fault[%d]", i)
		if err := s.checkFault(fault); err != nil {
			addError(key, "%w", err)
		}
		if fault.At > s.Duration {
			addError(key, "at %s is after the end, %s", fault.At, s.Duration)
		}
	}
	for i, step := range s.Steps {
		key := fmt.Sprintf("step[%d]", i)
		if err := s.checkStep(step); err != nil {
			addError(key, "%w", err)
		}
		if step.At > s.Duration {
			addError(key, "at %s is after the end, %s", step.At, s.Duration)
		}
	}
	if value := s.Expect.Served; value != nil {
		checkRange("expect.served", *value, 0, 1)
	}
	if s.Expect.Contradiction != nil && s.Fleet.Keepers == 0 {
		addError("expect.contradiction", "needs fleet.keepers: without them each relay acts by the configuration that it is given")
	}
	if s.Expect.TakenOver != nil && s.Fleet.Copies == 0 {
		addError("expect.taken-over", "needs fleet.copies: without copies nobody takes over")
	}
	for key, isSet := range map[string]bool{"over-budget": s.Expect.OverBudget != nil,
		"out-relays": s.Expect.OutRelays != nil, "out-endpoints": s.Expect.OutEndpoints != nil} {
		if isSet {
			addError("expect."+key, "is not measured yet: it needs grants and permits of the keepers")
		}
	}
	return errors.Join(problems...)
}

// TakeoverTime returns the time within which what a lost machine had must be taken over: a lease plus 1 % for clock
// drift, and 3 s in which relays learn of the loss and ask the replicas, with a margin for a busy machine. It is 0
// where nobody takes over.
func TakeoverTime(s *Scenario) time.Duration {
	if s.Fleet.Copies == 0 {
		return 0
	}
	return time.Duration(s.Fleet.Lease)*101/100 + 3*time.Second
}

// checkFault returns the first error in a fault.
func (s *Scenario) checkFault(fault Fault) error {
	from, err := s.checkTarget(fault.From)
	if err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if fault.To != "" {
		if _, err := s.checkTarget(fault.To); err != nil {
			return fmt.Errorf("to: %w", err)
		}
	}
	isOneOf := func(kinds []string) bool { return slices.Contains(kinds, fault.Kind) }
	switch {
	case fault.To != "" && isOneOf(linkFaultKinds):
		switch {
		case (fault.Kind == "delay" || fault.Kind == "lateclose") && fault.By == 0:
			return fmt.Errorf("%s needs by", fault.Kind)
		case fault.Kind == "slow" && fault.Rate <= 0:
			return errors.New("slow needs rate")
		case fault.Kind == "drop" && !(fault.Part > 0 && fault.Part <= 1):
			return errors.New("drop needs part, above 0 and at most 1")
		}
	case fault.To != "":
		return fmt.Errorf("%q is not a fault of a link (%s); without \"to\" a fault is one of the party itself", fault.Kind, strings.Join(linkFaultKinds, ", "))
	case from.kind == "relay" && isOneOf(processFaultKinds):
		if fault.Kind == "rollback" && (fault.By == 0 || fault.By > fault.At) {
			return errors.New("rollback needs by: the age of the state folder, no older than the run")
		}
	case from.kind == "keeper" && isOneOf(processFaultKinds[:3]):
	case from.kind == "endpoint" && isOneOf(endpointFaultKinds):
		if (fault.Kind == "errors" || fault.Kind == "garble") && !(fault.Part > 0 && fault.Part <= 1) || fault.Kind == "slow" && fault.Part <= 1 || fault.Kind == "limit" && !(fault.Part > 0) {
			return fmt.Errorf("%s needs part: errors and garble a share above 0, slow a factor above 1, limit a factor above 0", fault.Kind)
		}
	case from.kind == "discovery" && isOneOf(discoveryFaultKinds):
		switch fault.Kind {
		case "outage":
		case "late-list", "slow-notices", "slow-lists":
			if fault.By == 0 {
				return fmt.Errorf("%s needs by", fault.Kind)
			}
		default:
			if !(fault.Part > 0 && fault.Part <= 1) {
				return fmt.Errorf("%s needs part, above 0 and at most 1", fault.Kind)
			}
		}
	default:
		return fmt.Errorf("%q is not a fault of %q", fault.Kind, fault.From)
	}
	if fault.For == 0 && fault.Kind != "kill" && fault.Kind != "term" && fault.Kind != "upgrade" && fault.Kind != "lose" && fault.Kind != "rollback" {
		return fmt.Errorf("%s needs for: the duration of the fault", fault.Kind)
	}
	return nil
}

// checkStep returns the first error in a step.
func (s *Scenario) checkStep(step Step) error {
	if slices.Contains(unsupportedSteps, step.Do) {
		return fmt.Errorf("%q needs permits of the keepers, which do not exist yet", step.Do)
	}
	if !slices.Contains(stepKinds, step.Do) {
		return fmt.Errorf("%q is not a step (%s)", step.Do, strings.Join(stepKinds, ", "))
	}
	targetKind := "endpoint"
	if step.Do == "settings" {
		targetKind = "relay"
		if len(step.Set) == 0 && step.Break == "" {
			return errors.New("settings needs set or break")
		}
		for key, value := range step.Set {
			if _, ok := toNumber(value); !ok || !slices.Contains(SettableKeys, key) {
				return fmt.Errorf("set: %q = %v: only %s can be set, to numbers", key, value, strings.Join(SettableKeys, ", "))
			}
		}
		if step.Break != "" && !slices.Contains([]string{"cut", "empty", "missing"}, step.Break) {
			return fmt.Errorf("break: %q is not cut, empty or missing", step.Break)
		}
	}
	if step.Do == "list" {
		for key, value := range step.Set {
			if _, ok := toNumber(value); !ok || key != "limit" {
				return fmt.Errorf("set: %q = %v: only limit can be set, to a number", key, value)
			}
		}
	}
	targetText := step.To
	if step.Do == "settings" && s.Fleet.Keepers > 0 && targetText != "" && targetText != "relays" {
		return errors.New("to: with keepers the settings apply to all relays")
	}
	if targetText == "" && step.Do == "settings" {
		targetText = "relays"
	}
	target, err := s.checkTarget(targetText)
	if err != nil {
		return fmt.Errorf("to: %w", err)
	}
	if target.kind != targetKind {
		return fmt.Errorf("to: %q is not of kind %s", targetText, targetKind)
	}
	return nil
}
