package scenario

import (
	"fmt"
	"strconv"
	"strings"
)

// A target names parties: relay/2, relays, relays:zone=a, relays:part=0.5, endpoint/3, endpoints:dest=1,
// endpoints:zone=a, keeper/1, keeper/leader, keepers, keepers:part=0.5, discovery, clients.
type target struct {
	kind string // relay, endpoint, keeper, discovery or clients
	all  bool
	n    int
	by   string // zone, dest or part
	want string
	// leader is whichever keeper leads as the target is resolved in a run.
	leader bool
}

// Leader is the target that names the keeper that leads.
const Leader = "keeper/leader"

// Party is one that may be named.
type Party struct {
	Name string // relay/2, endpoint/3, discovery, client/4
	Zone string
	Dest int
}

// Kind is relay, endpoint, keeper, client or discovery.
func (p Party) Kind() string {
	kind, _, _ := strings.Cut(p.Name, "/")
	return kind
}

func parseTarget(text string) (target, error) {
	fail := func(format string, args ...any) (target, error) {
		return target{}, fmt.Errorf("%q: %s", text, fmt.Sprintf(format, args...))
	}
	switch text {
	case "":
		return target{}, fmt.Errorf("names nobody")
	case "discovery":
		return target{kind: text, all: true}, nil
	case "clients":
		return target{kind: "client", all: true}, nil
	}
	if kind, n, ok := strings.Cut(text, "/"); ok {
		if text == Leader {
			return target{kind: kind, leader: true}, nil
		}
		i, err := strconv.Atoi(n)
		if err != nil || i < 0 || kind != "relay" && kind != "endpoint" && kind != "keeper" {
			return fail("is not relay/N, endpoint/N, keeper/N or keeper/leader")
		}
		return target{kind: kind, n: i}, nil
	}
	kinds, by, chosen := strings.Cut(text, ":")
	t := target{all: true}
	switch kinds {
	case "relays":
		t.kind = "relay"
	case "endpoints":
		t.kind = "endpoint"
	case "keepers":
		t.kind = "keeper"
	default:
		return fail("is none of relay/N, relays, endpoint/N, endpoints, keeper/N, keeper/leader, keepers, discovery, clients")
	}
	if !chosen {
		return t, nil
	}
	key, value, ok := strings.Cut(by, "=")
	t.by, t.want = key, value
	switch {
	case !ok || value == "":
		return fail("after the colon comes zone=, dest= or part=")
	case key == "zone" && t.kind != "keeper":
	case key == "dest" && t.kind == "endpoint":
		if _, err := strconv.Atoi(value); err != nil {
			return fail("dest is no number")
		}
	case key == "part":
		if v, err := strconv.ParseFloat(value, 64); err != nil || !(v > 0 && v <= 1) {
			return fail("part must be above 0 and at most 1")
		}
	default:
		return fail("%s is no way to choose %s", key, kinds)
	}
	return t, nil
}

// Resolve picks those that a target names out of all parties, in their order. Naming nobody is an error.
func Resolve(text string, all []Party) ([]Party, error) {
	t, err := parseTarget(text)
	if err != nil {
		return nil, err
	}
	var found []Party
	if t.leader { // who that is a run knows
		for _, p := range all {
			if p.Kind() == "keeper" {
				return []Party{{Name: Leader}}, nil
			}
		}
	}
	for _, p := range all {
		kind, number, _ := strings.Cut(p.Name, "/")
		if kind != t.kind || !t.all && number != strconv.Itoa(t.n) {
			continue
		}
		if t.by == "zone" && p.Zone != t.want || t.by == "dest" && strconv.Itoa(p.Dest) != t.want {
			continue
		}
		found = append(found, p)
	}
	if t.by == "part" {
		part, _ := strconv.ParseFloat(t.want, 64)
		found = found[:min(len(found), int(part*float64(len(found))+0.5))]
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%q names nobody", text)
	}
	return found, nil
}

// Parties are all parties of a scenario but its clients' connections, with their zones.
func (s *Scenario) Parties() []Party {
	var all []Party
	for i := range s.Fleet.Relays {
		all = append(all, Party{Name: fmt.Sprintf("relay/%d", i), Zone: s.Zone(i)})
	}
	for i := range s.Fleet.Keepers {
		all = append(all, Party{Name: fmt.Sprintf("keeper/%d", i)})
	}
	for i := range s.Platform.Destinations * s.Platform.Endpoints {
		all = append(all, Party{Name: fmt.Sprintf("endpoint/%d", i), Zone: s.Zone(i / s.Platform.Destinations), Dest: i % s.Platform.Destinations})
	}
	for i := range s.Load.Clients {
		all = append(all, Party{Name: fmt.Sprintf("client/%d", i)})
	}
	return append(all, Party{Name: "discovery"})
}

// Zone is the zone of the nth of many.
func (s *Scenario) Zone(n int) string {
	if len(s.Fleet.Zones) == 0 {
		return ""
	}
	return s.Fleet.Zones[n%len(s.Fleet.Zones)]
}

// party checks that a target names somebody, and returns what kind it names.
func (s *Scenario) party(text string) (target, error) {
	t, err := parseTarget(text)
	if err != nil {
		return t, err
	}
	_, err = Resolve(text, s.Parties())
	return t, err
}
