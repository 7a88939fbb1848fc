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

// Keeper is where a keeper is.
type Keeper struct {
	Region     int    `json:"region"`
	PublicAddr string `json:"front"` // that all are told
	ListenAddr string `json:"http"`  // its own
}

// Distance is between two regions, one way.
type Path struct {
	Delay    time.Duration `json:"delay"`
	Jitter   time.Duration `json:"spread"` // by chance as much as this longer
	LossRate float64       `json:"lost"`   // share of pieces that TCP has to send again
}

// resentLeast is the least time after which Linux sends again what was not confirmed (TCP_RTO_MIN).
const minRetransmitDelay = 200 * time.Millisecond

// WAN is the network between regions as one process sees it. Parties in one region have no distance.
type WAN struct {
	Net     *link.Net
	Keepers []Keeper
	Paths   [][]Path // by the two regions
	bytes   atomic.Int64
}

// NewWAN is a network without connections.
func NewWAN(keepers []Keeper, paths [][]Path) *WAN {
	w := &WAN{Net: link.NewNet(history.NewClock()), Keepers: keepers, Paths: paths}
	for r := range paths {
		for i, k := range keepers {
			w.ApplyPath(w.Net.Link(regionName(r), keeperName(i)), r, k.Region)
		}
	}
	return w
}

// party is a region's members, as links know them; name is the nth keeper.
func regionName(region int) string { return fmt.Sprintf("region/%d", region) }
func keeperName(keeper int) string { return fmt.Sprintf("keeper/%d", keeper) }

// Apart puts the distance of two regions on a link between them.
func (w *WAN) ApplyPath(l *link.Link, a, b int) {
	d := w.Paths[a][b]
	if a == b || d == (Path{}) {
		return
	}
	f := &link.Faults{Delay: d.Delay, Spread: d.Jitter, Resent: d.LossRate, ResentIn: max(minRetransmitDelay, 2*d.Delay+d.Jitter)}
	l.Put("distance", f, f)
}

// Cut cuts a region off from the others, or mends it.
func (w *WAN) SetCut(region int, cut bool) {
	for r := range w.Paths {
		for i, k := range w.Keepers {
			if (r == region) != (k.Region == region) {
				SetLinkCut(w.Net.Link(regionName(r), keeperName(i)), cut)
			}
		}
	}
}

// Sever cuts a link, or mends it.
func SetLinkCut(l *link.Link, cut bool) {
	if !cut {
		l.Put("cut", nil, nil)
		return
	}
	f := &link.Faults{Cut: true}
	l.Put("cut", f, f)
}

// Bytes is what has been read and written by connections that were opened from here.
func (w *WAN) Bytes() int64 { return w.bytes.Load() }

// Dial opens a connection from a region to a keeper, by the address that all are told.
func (w *WAN) Dial(region int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		for i, k := range w.Keepers {
			if k.PublicAddr != addr {
				continue
			}
			select { // the kernel's handshake knows no distance
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
		return nil, fmt.Errorf("no keeper is at %s", addr)
	}
}

// conn is one end of a link's connection as net/http wants it.
type conn struct {
	*link.Conn
	wan *WAN
}

// Read reads what came through.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Write sends bytes on their way.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wan.bytes.Add(int64(n))
	return n, err
}

// Close ends the connection here at once; a cut keeps the other end from hearing of it.
func (c *conn) Close() error {
	c.Conn.SetReadDeadline(time.Now())
	return c.Conn.Close()
}

// LocalAddr is of no interest, and has to be there.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr likewise.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline is not used by net/http's client.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// SetWriteDeadline is not used either: what is written goes into the link's memory.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
