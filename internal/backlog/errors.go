package backlog

import (
	"errors"
	"fmt"
	"time"
)

// ErrFull is the cause of a Failure to take on for want of room.
var ErrFull = errors.New("no room in the backlog")

// Full is that there is no room; nothing of what was to be taken on is kept.
type FullError struct {
	NeededBytes, FreeBytes int64         // bytes
	RetryAfter             time.Duration // a guess at when there is room
}

func (f *FullError) Error() string {
	return fmt.Sprintf("%v: %d bytes needed, %d free", ErrFull, f.NeededBytes, f.FreeBytes)
}

// Is tells that it is ErrFull.
func (f *FullError) Is(err error) bool { return err == ErrFull }

// Remedy is what an operator can do.
func (f *FullError) Remedy() string {
	return "Give the backlog more room (backlog.disk_mb), or wait until destinations take what lies there."
}

// Failure is that the folder's files do not do what they should.
type FileError struct {
	Problem string
	Path    string
	Err     error
}

func (f *FileError) Error() string {
	return fmt.Sprintf("the backlog %s: %s: %v", f.Problem, f.Path, f.Err)
}

// Unwrap is the cause.
func (f *FileError) Unwrap() error { return f.Err }

// Remedy is what an operator can do.
func (f *FileError) Remedy() string {
	return "See that the backlog's folder is on a disk with room that this process may write to; what lies there is kept."
}

// Version is that the folder is of a program with another format.
type VersionError struct {
	Path             string
	Found, Supported string
}

func (v *VersionError) Error() string {
	return fmt.Sprintf("the backlog in %s has format %q; this program reads %q", v.Path, v.Found, v.Supported)
}

// Remedy is what an operator can do.
func (v *VersionError) Remedy() string {
	return "Start the program that wrote it and let it empty the backlog, or move the folder away and keep it for that."
}

// Damage is what could not be read of a segment. What lies behind it is there.
type DamageError struct {
	Segment string
	Lost    int  // messages that are gone
	InDoubt int  // messages that are there, but may have left already
	AtTail  bool // at the end, where a process that dies as it writes leaves a message that it confirmed to nobody
	Reason  string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("segment %s of the backlog is damaged: %s; %d messages lost, %d in doubt", d.Segment, d.Reason, d.Lost, d.InDoubt)
}

// Remedy is what an operator can do.
func (d *DamageError) Remedy() string {
	if d.AtTail {
		return "None if a process was killed as it wrote; else look after the disk: messages lost got no answer, have their senders ask."
	}
	return "Look after the disk: messages lost get no answer, have their senders ask; ones in doubt are not sent twice where that could harm."
}

// TooLarge is a message that the format has no room for; it is not kept.
type TooLargeError struct{ Dest, IDBytes, OrderKeyBytes, DataBytes int }

func (t *TooLargeError) Error() string {
	return fmt.Sprintf("a message for destination %d is larger than the backlog's format: id of %d bytes, key of %d, data of %d", t.Dest, t.IDBytes, t.OrderKeyBytes, t.DataBytes)
}

// Remedy is what an operator can do.
func (t *TooLargeError) Remedy() string {
	return "Have its sender use an id and a key of less than 64 KiB and a body of less than 1 GiB."
}
