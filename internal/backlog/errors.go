package backlog

import (
	"errors"
	"fmt"
	"time"
)

// ErrFull is the cause of a Failure to take on for want of room.
var ErrFull = errors.New("no room in the backlog")

// Full is that there is no room; nothing of what was to be taken on is kept.
type Full struct {
	Need, Room int64         // bytes
	Wait       time.Duration // a guess at when there is room
}

func (f *Full) Error() string {
	return fmt.Sprintf("%v: %d bytes needed, %d free", ErrFull, f.Need, f.Room)
}

// Is tells that it is ErrFull.
func (f *Full) Is(err error) bool { return err == ErrFull }

// Remedy is what an operator can do.
func (f *Full) Remedy() string {
	return "Give the backlog more room (backlog.disk_mb), or wait until destinations take what lies there."
}

// Failure is that the folder's files do not do what they should.
type Failure struct {
	Did  string
	Path string
	Err  error
}

func (f *Failure) Error() string { return fmt.Sprintf("the backlog %s: %s: %v", f.Did, f.Path, f.Err) }

// Unwrap is the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Remedy is what an operator can do.
func (f *Failure) Remedy() string {
	return "See that the backlog's folder is on a disk with room that this process may write to; what lies there is kept."
}

// Version is that the folder is of a program with another format.
type Version struct {
	Path       string
	Found, Own string
}

func (v *Version) Error() string {
	return fmt.Sprintf("the backlog in %s has format %q; this program reads %q", v.Path, v.Found, v.Own)
}

// Remedy is what an operator can do.
func (v *Version) Remedy() string {
	return "Start the program that wrote it and let it empty the backlog, or move the folder away and keep it for that."
}

// Damage is what could not be read of a segment. What lies behind it is there.
type Damage struct {
	Segment string
	Lost    int  // messages that are gone
	Doubt   int  // messages that are there, but may have left already
	Tail    bool // at the end, where a process that dies as it writes leaves a message that it confirmed to nobody
	Why     string
}

func (d *Damage) Error() string {
	return fmt.Sprintf("segment %s of the backlog is damaged: %s; %d messages lost, %d in doubt", d.Segment, d.Why, d.Lost, d.Doubt)
}

// Remedy is what an operator can do.
func (d *Damage) Remedy() string {
	if d.Tail {
		return "None if a process was killed as it wrote; else look after the disk: messages lost got no answer, have their senders ask."
	}
	return "Look after the disk: messages lost get no answer, have their senders ask; ones in doubt are not sent twice where that could harm."
}

// TooLarge is a message that the format has no room for; it is not kept.
type TooLarge struct{ Dest, ID, Order, Data int }

func (t *TooLarge) Error() string {
	return fmt.Sprintf("a message for destination %d is larger than the backlog's format: id of %d bytes, key of %d, data of %d", t.Dest, t.ID, t.Order, t.Data)
}

// Remedy is what an operator can do.
func (t *TooLarge) Remedy() string {
	return "Have its sender use an id and a key of less than 64 KiB and a body of less than 1 GiB."
}
