package lab

import (
	"fmt"
	"net"
	"os"
)

// freeAddr returns the first address on ip, from the given port upwards, that nobody listens on. It tries maxPorts ports.
func freeAddr(ip string, port int) (addr string, err error) {
	for candidate := port; candidate < port+maxPorts; candidate++ {
		addr = fmt.Sprintf("%s:%d", ip, candidate)
		l, listenErr := net.Listen("tcp4", addr)
		if listenErr == nil {
			l.Close()
			return addr, nil
		}
		err = listenErr
	}
	return "", err
}

// addrBlock is a part of the loopback range that this run uses alone while its lock listener is open. Processes keep their
// addresses across restarts, and no other lab on this machine may use one of them in between.
type addrBlock struct {
	prefix string // 127.N
	lock   net.Listener
}

// Range of the second byte of the blocks' addresses, and the port whose listener locks a block. Other programs use addresses below.
const (
	firstBlock = 16
	lastBlock  = 250
	lockPort   = 15999
)

// reserveBlock reserves a block that no other run uses.
func reserveBlock() (addrBlock, error) {
	first := firstBlock + os.Getpid()%(lastBlock-firstBlock)
	var lastErr error
	for i := range lastBlock - firstBlock {
		n := firstBlock + (first-firstBlock+i)%(lastBlock-firstBlock)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", n, lockPort))
		if err == nil {
			return addrBlock{fmt.Sprintf("127.%d", n), l}, nil
		}
		lastErr = err
	}
	return addrBlock{}, fmt.Errorf("no part of the loopback range is free: %w", lastErr)
}

// relayIP returns the IP address of the nth relay.
func (b addrBlock) relayIP(n int) string { return fmt.Sprintf("%s.%d.%d", b.prefix, n/250, 1+n%250) }

// clientIP returns the IP address of the nth client.
func (b addrBlock) clientIP(n int) string {
	return fmt.Sprintf("%s.%d.%d", b.prefix, 100+n/250, 1+n%250)
}

// strangerIP returns the IP address that strangers connect from, sharedIP the one of all fronts that serve several relays.
func (b addrBlock) strangerIP() string { return b.prefix + ".200.1" }
func (b addrBlock) sharedIP() string   { return b.prefix + ".201.1" }
