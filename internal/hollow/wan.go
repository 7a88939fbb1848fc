package hollow

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Keeper gives the region and the addresses of a keeper.
type Keeper struct {
	Region     int    `json:"region"`
	PublicAddr string `json:"front"` // address that members, operators and other keepers use, behind a link
	ListenAddr string `json:"http"`  // address at which the keeper listens
}

// Path describes the network path between two regions, in one direction.
type Path struct {
	Delay    time.Duration `json:"delay"`  // least delay
	Jitter   time.Duration `json:"spread"` // greatest random addition to the delay
	LossRate float64       `json:"lost"`   // fraction of segments that TCP has to retransmit
}

// minRetransmitDelay is the shortest time after which Linux retransmits unacknowledged data (TCP_RTO_MIN).
const minRetransmitDelay = 200 * time.Millisecond

// WAN is the network between regions as one process sees it. There is no delay within a region.
type WAN struct {
	Net     *link.Net
	Keepers []Keeper
	Paths   [][]Path     // indexed by the two regions
	bytes   atomic.Int64 // read and written by connections opened from this process
}

// NewWAN returns a network without connections, whose links between regions and keepers have the delays and losses of paths.
func NewWAN(keepers []Keeper, paths [][]Path) *WAN {
	w := &WAN{Net: link.NewNet(history.NewClock()), Keepers: keepers, Paths: paths}
	for r := range paths {
		for i, k := range keepers {
			w.ApplyPath(w.Net.Link(regionName(r), keeperName(i)), r, k.Region)
		}
	}
	return w
}

// regionName returns the name by which links know the members of a region, keeperName that of a keeper.
func regionName(region int) string { return fmt.Sprintf("region/%d", region) }
func keeperName(keeper int) string { return fmt.Sprintf("keeper/%d", keeper) }

// ApplyPath gives a link the delay and loss of the path between regions a and b; it does nothing within one region.
func (w *WAN) ApplyPath(l *link.Link, a, b int) {
	path := w.Paths[a][b]
	if a == b || path == (Path{}) {
		return
	}
	faults := &link.Faults{Delay: path.Delay, Jitter: path.Jitter, RetransmitShare: path.LossRate, RetransmitDelay: max(minRetransmitDelay, 2*path.Delay+path.Jitter)}
	l.SetNamed("distance", faults, faults)
}

// SetCut cuts a region off from the keepers of other regions, and its keepers from the other regions, or ends that cut.
func (w *WAN) SetCut(region int, cut bool) {
	for r := range w.Paths {
		for i, k := range w.Keepers {
			if (r == region) != (k.Region == region) {
				SetLinkCut(w.Net.Link(regionName(r), keeperName(i)), cut)
			}
		}
	}
}

// SetLinkCut cuts a link in both directions, or ends that cut.
func SetLinkCut(l *link.Link, cut bool) {
	if !cut {
		l.SetNamed("cut", nil, nil)
		return
	}
	faults := &link.Faults{Cut: true}
	l.SetNamed("cut", faults, faults)
}

// Bytes returns the number of bytes read and written by connections opened from this process.
func (w *WAN) Bytes() int64 { return w.bytes.Load() }

// Dial returns a dial function for members of a region; it accepts the public addresses of keepers and takes a round trip
// for the handshake.
func (w *WAN) Dial(region int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		for i, k := range w.Keepers {
			if k.PublicAddr != addr {
				continue
			}
			select { // the kernel's loopback handshake has no delay, so the round trip is waited for here
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(2 * w.Paths[region][k.Region].Delay):
			}
			c, err := w.Net.Dial(ctx, regionName(region), keeperName(i), "", k.ListenAddr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, wan: w}, nil
		}
		return nil, fmt.Errorf("no keeper has address %s", addr)
	}
}

// conn adapts one end of a link's connection to net.Conn for net/http and counts its bytes.
type conn struct {
	*link.Conn
	wan *WAN
}

// Read reads bytes that have passed the link.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Write writes bytes to the link.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Close closes this end at once; while the link is cut, the other end is not notified.
func (c *conn) Close() error {
	c.Conn.SetReadDeadline(time.Now())
	return c.Conn.Close()
}

// LocalAddr returns an empty address; it exists only to implement net.Conn.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address; it exists only to implement net.Conn.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline sets the read deadline only; net/http's client does not call it.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// SetWriteDeadline does nothing: writes go into the link's memory and net/http's client does not call it.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
