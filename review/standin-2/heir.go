package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["heir"] = playHeir }

// playHeir cuts zone a, with one of three relays and an endpoint of partner 1, off from zone b, with the other relays, the
// keeper and all else, for 6 s. A call of the relay with two messages hangs at its own zone's endpoint. One of five endpoints
// hangs.
func playHeir(r *rig) {
	const source = "127.0.0.2" // of n0's connections
	var mu sync.Mutex
	mode := ""
	setMode := func(m string) {
		mu.Lock()
		defer mu.Unlock()
		mode = m
		r.log("endpoint e1: %q", m)
	}
	answer := func(c call, w http.ResponseWriter, req *http.Request) {
		time.Sleep(250 * time.Millisecond)
		tellLimit(w, 0.8, 60)
		if req.URL.Path != "/receive-many" {
			w.WriteHeader(http.StatusOK)
			return
		}
		for _, id := range c.IDs {
			fmt.Fprintf(w, "%s ok\r\n", id)
		}
	}
	e1 := r.newHost("e1", func(c call, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		now := mode
		mu.Unlock()
		switch now {
		case "at its limit":
			tellLimit(w, 0, 60)
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusTooManyRequests)
		case "hangs":
			<-req.Context().Done()
			r.log("endpoint e1: the connection with %v has ended", c.IDs)
			panic(http.ErrAbortHandler)
		default:
			answer(c, w, req)
		}
	})
	e2 := r.newHost("e2", answer)
	for _, h := range []*host{e1, e2} {
		h.twice = func(id string, first, second call) {
			r.breaks("message %s came at %.3f s while its call of %.3f s was still out on an open connection", id, second.At.Seconds(), first.At.Seconds())
		}
	}
	// n0 reaches e1 directly and e2 by a link between the zones, the others the other way round.
	links := []*cutProxy{r.newCutProxy(e1.addr, ""), r.newCutProxy(e2.addr, "")}
	listed := func(id, addr, zone string, partner int) endpoint {
		return endpoint{ID: id, Addr: addr, Zone: zone, Kind: "big-buyers", Cell: partner, State: "active", Weight: 60}
	}
	sound := []endpoint{}
	for i := range 3 {
		sound = append(sound, listed(fmt.Sprintf("s-2%d", i), r.newHost(fmt.Sprintf("e2%d", i), answer).addr, "b", 2))
	}
	mine := r.newPlatform(append([]endpoint{listed("s-1", e1.addr, "a", 1)}, sound...)...)
	others := r.newPlatform(append([]endpoint{listed("s-1", links[0].addr, "a", 1)}, sound...)...)
	keeper := r.startKeeperWith("2s")
	toKeeper := r.newCutProxy(keeper, "")
	links = append(links, toKeeper)
	sets := func(zone int) object {
		return settings(func(s object) {
			s["fleet-size"], s["zone"], s["zones"], s["bounds"].(object)["max-attempts"] = 3, zone, []string{"a", "b"}, 3
			s["family-info"].(object)["zone-fee"] = []float64{0, 0}
		})
	}
	var specs []relaySpec
	var relays []*relay
	for i := range 3 {
		listen := freeAddr()
		link := r.newCutProxy(listen, source) // n0's way to this relay
		fleet := object{"keepers": []string{keeper}, "listen": listen, "address": link.addr, "copies": 1, "zone": "b"}
		spec := relaySpec{name: fmt.Sprintf("n%d", i), addr: freeAddr(), admin: freeAddr(), state: fmt.Sprintf("%s/state-%d", r.dir, i), platform: others.addr, known: others.known(), settings: sets(1),
			extra: object{"fleet": fleet, "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 8}}}
		if i == 0 {
			link.from = "" // the others' way to n0
			fleet["keepers"], fleet["zone"], spec.extra["source"] = []string{toKeeper.addr}, "a", source
			spec.platform, spec.known, spec.settings = mine.addr, mine.known(), sets(0)
		}
		links = append(links, link)
		specs, relays = append(specs, spec), append(relays, r.startRelay(spec))
	}
	for i, q := range relays {
		q.awaitURL("http://"+specs[i].admin+"/ready", 15*time.Second)
		q.awaitUp()
	}
	time.Sleep(time.Second)
	handIn := func() (id string) {
		s := submission{ID: r.id(), Class: "order-msg", Key: "k" + r.id(), Dest: 1, Deadline: 24000, Body: "an order"}
		if r.handIn(specs[0].addr, s) != http.StatusAccepted {
			panic(unplayable{"a message was not taken on"})
		}
		return s.ID
	}
	for range 60 {
		handIn()
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	setMode("at its limit")
	handIn()
	time.Sleep(750 * time.Millisecond) // it was refused twice by now, and has its last attempt ahead
	second := handIn()
	if r.trouble {
		setMode("hangs")
	} else {
		setMode("")
	}
	for end := r.now() + 2*time.Second; len(e1.callsOf(second)) == 0; time.Sleep(5 * time.Millisecond) {
		if r.now() > end {
			panic(unplayable{"the call did not come"})
		}
	}
	// The partner adds an endpoint in zone b.
	mine.change(listed("s-1b", links[1].addr, "b", 1))
	others.change(listed("s-1b", e2.addr, "b", 1))
	setLinks := func(cut bool) {
		for _, link := range links {
			link.cut.Store(cut)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		r.log("zone a, with relay n0 and endpoint e1, is cut off from zone b")
		setLinks(true)
	}
	time.Sleep(6 * time.Second)
	setLinks(false)
	r.log("the links are whole")
	time.Sleep(3 * time.Second)
}
