package scenario

import (
	"fmt"
	"strconv"
	"strings"
)

// target names parties: relay/2, relays, relays:zone=a, relays:part=0.5, endpoint/3, endpoints:dest=1,
// endpoints:zone=a, keeper/1, keeper/leader, keepers, keepers:part=0.5, discovery, clients.
type target struct {
	kind        string // relay, endpoint, keeper, discovery or client
	all         bool
	number      int
	filterKey   string // zone, dest or part
	filterValue string
	// leader stands for the keeper that leads at the time in the run when the target is resolved.
	leader bool
}

// LeaderTarget names the keeper that leads.
const LeaderTarget = "keeper/leader"

// Party is a participant of a run that a target may name.
type Party struct {
	Name string // such as relay/2, endpoint/3, discovery or client/4
	Zone string
	Dest int
}

// Kind returns relay, endpoint, keeper, client or discovery.
func (p Party) Kind() string {
	kind, _, _ := strings.Cut(p.Name, "/")
	return kind
}

// parseTarget parses the text of a target, without resolving it.
func parseTarget(text string) (target, error) {
	invalid := func(format string, args ...any) (target, error) {
		return target{}, fmt.Errorf("%q: %s", text, fmt.Sprintf(format, args...))
	}
	switch text {
	case "":
		return target{}, fmt.Errorf("names no party")
	case "discovery":
		return target{kind: text, all: true}, nil
	case "clients":
		return target{kind: "client", all: true}, nil
	}
	if kind, numberText, ok := strings.Cut(text, "/"); ok {
		if text == LeaderTarget {
			return target{kind: kind, leader: true}, nil
		}
		number, err := strconv.Atoi(numberText)
		if err != nil || number < 0 || kind != "relay" && kind != "endpoint" && kind != "keeper" {
			return invalid("is not relay/N, endpoint/N, keeper/N or keeper/leader")
		}
		return target{kind: kind, number: number}, nil
	}
	plural, filter, hasFilter := strings.Cut(text, ":")
	parsed := target{all: true}
	switch plural {
	case "relays":
		parsed.kind = "relay"
	case "endpoints":
		parsed.kind = "endpoint"
	case "keepers":
		parsed.kind = "keeper"
	default:
		return invalid("is not one of relay/N, relays, endpoint/N, endpoints, keeper/N, keeper/leader, keepers, discovery, clients")
	}
	if !hasFilter {
		return parsed, nil
	}
	key, value, ok := strings.Cut(filter, "=")
	parsed.filterKey, parsed.filterValue = key, value
	switch {
	case !ok || value == "":
		return invalid("must have zone=, dest= or part= after the colon")
	case key == "zone" && parsed.kind != "keeper":
	case key == "dest" && parsed.kind == "endpoint":
		if _, err := strconv.Atoi(value); err != nil {
			return invalid("dest is not a number")
		}
	case key == "part":
		if fraction, err := strconv.ParseFloat(value, 64); err != nil || !(fraction > 0 && fraction <= 1) {
			return invalid("part must be above 0 and at most 1")
		}
	default:
		return invalid("%s cannot select %s", key, plural)
	}
	return parsed, nil
}

// Resolve returns those of all parties that a target names, in their order. It is an error if there are none.
func Resolve(text string, all []Party) ([]Party, error) {
	target, err := parseTarget(text)
	if err != nil {
		return nil, err
	}
	var found []Party
	if target.leader { // only the run knows which keeper leads
		for _, party := range all {
			if party.Kind() == "keeper" {
				return []Party{{Name: LeaderTarget}}, nil
			}
		}
	}
	for _, party := range all {
		kind, number, _ := strings.Cut(party.Name, "/")
		if kind != target.kind || !target.all && number != strconv.Itoa(target.number) {
			continue
		}
		if target.filterKey == "zone" && party.Zone != target.filterValue || target.filterKey == "dest" && strconv.Itoa(party.Dest) != target.filterValue {
			continue
		}
		found = append(found, party)
	}
	if target.filterKey == "part" {
		fraction, _ := strconv.ParseFloat(target.filterValue, 64)
		found = found[:min(len(found), int(fraction*float64(len(found))+0.5))]
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%q names no party", text)
	}
	return found, nil
}

// Parties returns all parties of a scenario: relays, keepers, endpoints, clients (but not their single connections) and
// discovery, with the zones of relays and endpoints.
func (s *Scenario) Parties() []Party {
	var parties []Party
	for i := range s.Fleet.Relays {
		parties = append(parties, Party{Name: fmt.Sprintf("relay/%d", i), Zone: s.Zone(i)})
	}
	for i := range s.Fleet.Keepers {
		parties = append(parties, Party{Name: fmt.Sprintf("keeper/%d", i)})
	}
	for i := range s.Platform.Destinations * s.Platform.Endpoints {
		parties = append(parties, Party{Name: fmt.Sprintf("endpoint/%d", i), Zone: s.Zone(i / s.Platform.Destinations), Dest: i % s.Platform.Destinations})
	}
	for i := range s.Load.Clients {
		parties = append(parties, Party{Name: fmt.Sprintf("client/%d", i)})
	}
	return append(parties, Party{Name: "discovery"})
}

// Zone returns the zone of the nth relay or endpoint: the zones are assigned in turn.
func (s *Scenario) Zone(index int) string {
	if len(s.Fleet.Zones) == 0 {
		return ""
	}
	return s.Fleet.Zones[index%len(s.Fleet.Zones)]
}

// checkTarget parses a target and checks that it names at least one party.
func (s *Scenario) checkTarget(text string) (target, error) {
	target, err := parseTarget(text)
	if err != nil {
		return target, err
	}
	_, err = Resolve(text, s.Parties())
	return target, err
}
