package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stale"] = playStale }

// playStale cuts zone a, with one of three relays, off from zone b, with the other relays, the keeper and the partner, for
// 6 s. The relay has taken on a payment, which the partner has refused with a wait. An heir delivers the payment meanwhile.
func playStale(r *rig) {
	const order = "payment 4711"
	var mu sync.Mutex
	atLimit, runs, run := false, 0, map[string]time.Duration{}
	h := r.newHostWithBody("e1", func(c call, body string, w http.ResponseWriter) {
		mu.Lock()
		refuse := atLimit
		mu.Unlock()
		if !refuse {
			time.Sleep(200 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		if refuse {
			tellLimit(w, 0, 20)
			r.log("endpoint e1 is at its limit: 429 with Retry-After 2")
			w.Header().Set("Retry-After", "2.000")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		run[c.ID] = r.now()
		if body == order {
			runs++
		}
		tellLimit(w, 0.9, 20)
		r.log("endpoint e1 runs %q (%s) and answers 200", body, c.ID)
		w.WriteHeader(http.StatusOK)
	})
	const source = "127.0.0.2" // of n0's connections
	toPartner := r.newCutProxy(h.addr, "")
	listWith := func(addr string) endpoint { // the address may differ from one relay to the next
		return endpoint{ID: "s-1", Addr: addr, Zone: "b", Kind: "small-partners", Cell: 1, State: "active", Weight: 20}
	}
	p, others := r.newPlatform(listWith(toPartner.addr)), r.newPlatform(listWith(h.addr))
	keeper := r.startKeeperWith("2s")
	links := []*cutProxy{r.newCutProxy(keeper, ""), toPartner}
	keeperOfN0 := links[0].addr
	sets := func(zone int) object {
		return settings(func(s object) {
			s["fleet-size"], s["zone"], s["zones"] = 3, zone, []string{"a", "b"}
			s["family-info"].(object)["zone-fee"] = []float64{0, 0}
			s["classes"] = []object{{"aim": 1.0, "effect": "at_most_once", "give-up": 6.0, "late-share": 0.3, "name": "payment", "stream": false, "worth": 1.0}}
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
			fleet["keepers"], fleet["zone"], spec.extra["source"] = []string{keeperOfN0}, "a", source
			spec.platform, spec.known, spec.settings = p.addr, p.known(), sets(0)
		}
		links = append(links, link)
		specs, relays = append(specs, spec), append(relays, r.startRelay(spec))
	}
	for i, q := range relays {
		q.awaitURL("http://"+specs[i].admin+"/ready", 15*time.Second)
		q.awaitUp()
	}
	time.Sleep(time.Second)
	handIn := func(addr, body string) (id string, status int) {
		id = r.id()
		return id, r.handIn(addr, submission{ID: id, Class: "payment", Dest: 1, Deadline: 6000, Body: body})
	}
	for range 5 {
		handIn(specs[0].addr, "an earlier payment")
		time.Sleep(100 * time.Millisecond)
	}
	setLimit := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		atLimit = on
	}
	setLimit(true)
	id, status := handIn(specs[0].addr, order)
	if status != http.StatusAccepted {
		panic(unplayable{"the payment was not taken on"})
	}
	time.Sleep(300 * time.Millisecond)
	setLimit(false)
	setLinks := func(cut bool) {
		for _, link := range links {
			link.cut.Store(cut)
		}
	}
	if r.trouble {
		r.log("zone a, with relay n0, is cut off from zone b")
		setLinks(true)
	}
	time.AfterFunc(6*time.Second, func() {
		setLinks(false)
		r.log("the links are whole")
	})
	cutAt, again := r.now(), false
	for r.now() < cutAt+10*time.Second {
		time.Sleep(5 * time.Millisecond)
		n, told := p.noticeOf(id)
		if !told || n.Status != "deferred" || again {
			continue
		}
		again = true
		mu.Lock()
		at, ran := run[id]
		mu.Unlock()
		if ran && at < n.At {
			r.breaks("payment %s ran at %.3f s and got the answer 200, and at %.3f s its client was told to hand it in again", id, at.Seconds(), n.At.Seconds())
		}
		time.Sleep(time.Second)
		r.log("the client hands the payment in again, as it was told")
		handIn(specs[1].addr, order)
	}
	mu.Lock()
	defer mu.Unlock()
	if runs > 1 {
		r.breaks("the payment ran %d times", runs)
	}
}

// newHostWithBody starts an endpoint whose answers depend on the bodies of single calls.
func (r *rig) newHostWithBody(name string, serve func(c call, body string, w http.ResponseWriter)) *host {
	return r.newHost(name, func(c call, w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		serve(c, string(body), w)
	})
}
