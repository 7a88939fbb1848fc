package main

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"
)

// reloadCase replaces the configuration file by a sound one and sends SIGHUP. The new file names another address of
// discovery, as the page TERMS has it, and adds a class. The class in use has the key aim-stretch; the added one has
// not, which the page WIRE allows. One destination, which gets a quarter of the messages, is shut for 20 s, with and
// without the disruption, so that there are messages that end by notices.
func reloadCase(w *world, trouble bool) (broken int, err error) {
	sound, err := w.newEndpoint("s-7", 7, 50*time.Millisecond, 0)
	if err != nil {
		return 0, err
	}
	shut, err := w.newEndpoint("s-8", 8, 50*time.Millisecond, 20*time.Second)
	if err != nil {
		return 0, err
	}
	first, err := w.newDiscovery("A", []server{sound, shut})
	if err != nil {
		return 0, err
	}
	second, err := w.newDiscovery("B", []server{sound, shut})
	if err != nil {
		return 0, err
	}
	orders := class("order-msg", "deduplicated", 3, 6, 15)
	orders["aim-stretch"] = 2.0
	added := class("stock-query", "idempotent", 3, 6, 0)
	r, err := w.newRelay(first, settings(orders))
	if err != nil {
		return 0, err
	}
	process, err := r.startProcess()
	if err != nil {
		return 0, err
	}
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			next := maps.Clone(r.configuration)
			next["discovery"], next["settings"] = second.addr, settings(orders, added)
			r.configuration = next
			if err := r.writeConfig(); err != nil {
				panic(err)
			}
			w.log("platform: the new configuration is in place (discovery at B, class stock-query added); SIGHUP; A takes no new connections from now on")
			process.Process.Signal(syscall.SIGHUP)
			first.moveAway()
		})
	}
	var clients sync.WaitGroup
	for i := range 64 {
		clients.Go(func() { r.send("order-msg", fmt.Sprintf("%032x", i), 7+i%4/3, 6*time.Second, "order confirmation") })
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	w.log("relay: %s", r.metrics("svc.reloads"))
	time.Sleep(6*time.Second + 2*endSlack)
	if process.ProcessState != nil {
		return 0, errors.New("the relay has ended")
	}
	return w.judgeEnds(), nil
}
