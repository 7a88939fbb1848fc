package lab

import (
	"fmt"
	"net"
	"os"
)

// Addresses.

// freeAddr finds a port of an address, from one upwards, that nobody listens on.
func freeAddr(ip string, port int) (addr string, err error) {
	for p := port; p < port+portsMost; p++ {
		addr = fmt.Sprintf("%s:%d", ip, p)
		l, lerr := net.Listen("tcp4", addr)
		if lerr == nil {
			l.Close()
			return addr, nil
		}
		err = lerr
	}
	return "", err
}

// block is a part of the loopback range that belongs to this run alone, as long as it holds the lock: processes
// keep their addresses across restarts, and none may be taken meanwhile by another lab on this machine.
type block struct {
	prefix string // 127.N
	lock   net.Listener
}

// The blocks, and the port whose listener is the lock of one. What other programs use lies below.
const (
	firstBlock = 16
	lastBlock  = 250
	lockPort   = 15999
)

// takeBlock takes a block that no other run has.
func takeBlock() (block, error) {
	from := firstBlock + os.Getpid()%(lastBlock-firstBlock)
	var last error
	for i := range lastBlock - firstBlock {
		n := firstBlock + (from-firstBlock+i)%(lastBlock-firstBlock)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", n, lockPort))
		if err == nil {
			return block{fmt.Sprintf("127.%d", n), l}, nil
		}
		last = err
	}
	return block{}, fmt.Errorf("no part of the loopback range is free: %w", last)
}

// relayIP is the address of the nth relay.
func (b block) relayIP(n int) string { return fmt.Sprintf("%s.%d.%d", b.prefix, n/250, 1+n%250) }

// clientIP is the address of the nth client.
func (b block) clientIP(n int) string { return fmt.Sprintf("%s.%d.%d", b.prefix, 100+n/250, 1+n%250) }

// strangerIP is where strangers come from, sharedIP where parties stand that all relays reach at one address.
func (b block) strangerIP() string { return b.prefix + ".200.1" }
func (b block) sharedIP() string   { return b.prefix + ".201.1" }
