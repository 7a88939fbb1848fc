package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["heir"] = playHeir }

// playHeir cuts one of three relays off from the keeper for 6 s. It keeps its connections to the partner, where a call with
// two messages hangs.
func playHeir(r *rig) {
	var mu sync.Mutex
	mode := ""
	setMode := func(m string) {
		mu.Lock()
		defer mu.Unlock()
		mode = m
		r.log("partner 1: %q", m)
	}
	h := r.newHost("e1", func(c call, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		now := mode
		mu.Unlock()
		switch now {
		case "at its limit":
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case "hangs":
			<-req.Context().Done()
			r.log("endpoint e1: the connection with %v has ended", c.IDs)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(100 * time.Millisecond)
		if req.URL.Path != "/receive-many" {
			w.WriteHeader(http.StatusOK)
			return
		}
		for _, id := range c.IDs {
			fmt.Fprintf(w, "%s ok\r\n", id)
		}
	})
	h.twice = func(id string, first, second call) {
		r.breaks("message %s came at %.3f s while its call of %.3f s was still out on an open connection", id, second.At.Seconds(), first.At.Seconds())
	}
	p := r.newPlatform(endpoint{ID: "s-1", Addr: h.addr, Zone: "sibiu-dc1", Kind: "big-buyers", Cell: 1, State: "active", Weight: 60})
	keeper := r.startKeeper()
	link := r.newCutProxy(keeper, "")
	sets := settings(func(s object) { s["fleet-size"], s["bounds"].(object)["max-attempts"] = 3, 3 })
	var specs []relaySpec
	var relays []*relay
	for i := range 3 {
		at := keeper
		if i == 0 {
			at = link.addr
		}
		spec := relaySpec{name: fmt.Sprintf("n%d", i), addr: freeAddr(), admin: freeAddr(), state: fmt.Sprintf("%s/state-%d", r.dir, i), platform: p.addr, known: p.known(), settings: sets,
			extra: object{"fleet": object{"keepers": []string{at}, "listen": freeAddr(), "copies": 1}, "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 8}}}
		specs, relays = append(specs, spec), append(relays, r.startRelay(spec))
	}
	for i, q := range relays {
		q.awaitURL("http://"+specs[i].admin+"/ready", 15*time.Second)
		q.awaitUp()
	}
	time.Sleep(time.Second)
	c, err := dialClient(specs[0].addr)
	check(err)
	handIn := func() {
		if c.submit(r, submission{ID: r.id(), Class: "order-msg", Key: "k" + r.id(), Dest: 1, Deadline: 24000, Body: "an order"}) != http.StatusAccepted {
			panic(unplayable{"a message was not taken on"})
		}
	}
	for range 60 {
		handIn()
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		link.cut.Store(true)
		r.log("relay n0 is cut off from the keeper")
	}
	cutAt := r.now()
	time.Sleep(700 * time.Millisecond)
	setMode("at its limit")
	handIn()
	time.Sleep(750 * time.Millisecond) // it was refused twice by now, and has its last attempt ahead
	handIn()
	if r.trouble {
		setMode("hangs")
	} else {
		setMode("")
	}
	time.Sleep(cutAt + 6*time.Second - r.now())
	link.cut.Store(false)
	r.log("relay n0 reaches the keeper again")
	time.Sleep(3 * time.Second)
}
