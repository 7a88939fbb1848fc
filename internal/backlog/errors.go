package backlog

import (
	"errors"
	"fmt"
	"time"
)

// ErrFull matches each FullError.
var ErrFull = errors.New("backlog is full")

// FullError tells that a call would exceed the disk budget; none of its messages was stored.
type FullError struct {
	NeededBytes, FreeBytes int64
	RetryAfter             time.Duration // estimated time until space is free
}

func (f *FullError) Error() string {
	return fmt.Sprintf("%v: %d bytes needed, %d free", ErrFull, f.NeededBytes, f.FreeBytes)
}

// Is reports whether err is ErrFull.
func (f *FullError) Is(err error) bool { return err == ErrFull }

// Remedy tells what an operator can do.
func (f *FullError) Remedy() string {
	return "Give the backlog more room (backlog.disk_mb), or wait until destinations take what lies there."
}

// FileError reports a file operation that failed.
type FileError struct {
	Problem string
	Path    string
	Err     error
}

func (f *FileError) Error() string {
	return fmt.Sprintf("the backlog %s: %s: %v", f.Problem, f.Path, f.Err)
}

// Unwrap returns the error of the file operation.
func (f *FileError) Unwrap() error { return f.Err }

// Remedy tells what an operator can do.
func (f *FileError) Remedy() string {
	return "See that the backlog's folder is on a disk with room that this process may write to; what lies there is kept."
}

// VersionError tells that the folder was written in a format that this program does not read.
type VersionError struct {
	Path             string
	Found, Supported string
}

func (v *VersionError) Error() string {
	return fmt.Sprintf("the backlog in %s has format %q; this program reads %q", v.Path, v.Found, v.Supported)
}

// Remedy tells what an operator can do.
func (v *VersionError) Remedy() string {
	return "Start the program that wrote it and let it empty the backlog, or move the folder away and keep it for that."
}

// DamageError reports the part of a segment that could not be read. What follows it in the segment is preserved.
type DamageError struct {
	Segment string
	Lost    int  // number of messages that are lost
	InDoubt int  // number of messages that are preserved but may have been removed before
	AtTail  bool // at the end of the queue, where a process killed while writing leaves a message that it never confirmed
	Reason  string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("segment %s of the backlog is damaged: %s; %d messages lost, %d in doubt", d.Segment, d.Reason, d.Lost, d.InDoubt)
}

// Remedy tells what an operator can do.
func (d *DamageError) Remedy() string {
	if d.AtTail {
		return "None if a process was killed as it wrote; else look after the disk: messages lost got no answer, have their senders ask."
	}
	return "Look after the disk: messages lost get no answer, have their senders ask; ones in doubt are not sent twice where that could harm."
}

// TooLargeError reports a message that exceeds the limits of the format; it was not stored.
type TooLargeError struct{ Dest, IDBytes, OrderKeyBytes, DataBytes int }

func (t *TooLargeError) Error() string {
	return fmt.Sprintf("a message for destination %d is larger than the backlog's format: id of %d bytes, key of %d, data of %d", t.Dest, t.IDBytes, t.OrderKeyBytes, t.DataBytes)
}

// Remedy tells what an operator can do.
func (t *TooLargeError) Remedy() string {
	return "Have its sender use an id and a key of less than 64 KiB and a body of less than 1 GiB."
}
