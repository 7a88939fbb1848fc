package state

import "fmt"

// FencedError says that a replica has promised itself to another writer.
type FencedError struct {
	Epoch  uint64 // of the promise
	Writer string
}

func (f *FencedError) Error() string {
	return fmt.Sprintf("the holder takes records of epoch %d by %s only", f.Epoch, f.Writer)
}

// Remedy returns what an operator can do about the error.
func (f *FencedError) Remedy() string {
	return "nothing if a relay was lost or restarted: an heir or its next process goes on; else see whether two relays share a name or a folder"
}

// MissingRecordsError says that a replica lacks the records that precede those it was sent.
type MissingRecordsError struct {
	Next  uint64 // number of the record that it needs next
	Whole bool   // it has a copy from this writer, up to the record before Next
}

func (m *MissingRecordsError) Error() string {
	return fmt.Sprintf("the holder wants record %d next (has a copy: %v)", m.Next, m.Whole)
}

// Remedy returns what an operator can do about the error.
func (m *MissingRecordsError) Remedy() string {
	return "nothing: the writer sends what is missing, or the whole"
}

// Copy is what a replica stores about its copy of one group beside the records. The zero value has promised nothing and has no
// copy.
type Copy struct {
	Epoch  uint64 `json:"epoch"`  // newest epoch that it has promised itself to
	Writer string `json:"writer"` // writer that it has promised itself to in that epoch
	// The records up to the one before Next are from ContentWriter, which sent a whole copy in epoch ContentEpoch.
	// ContentWriter is empty if there is no copy.
	ContentWriter string `json:"from,omitempty"`
	ContentEpoch  uint64 `json:"have,omitempty"`
	Next          uint64 `json:"next,omitempty"`
}

// Promise makes the replica accept records of a writer, and none of earlier writers any more. before names the writer that this
// one takes over from in the same epoch, empty for none. It fails with *FencedError if another writer was promised to.
func (c *Copy) Promise(epoch uint64, writer, before string) error {
	switch {
	case epoch > c.Epoch:
	case epoch == c.Epoch && (writer == c.Writer || before != "" && before == c.Writer):
	default:
		return &FencedError{c.Epoch, c.Writer}
	}
	c.Epoch, c.Writer = epoch, writer
	return nil
}

// Reset accepts a whole copy, after which the record number next follows. It fails with *FencedError if another writer was
// promised to, and with *MissingRecordsError if the copy is older than the present one of the same writer.
func (c *Copy) Reset(epoch uint64, writer string, next uint64) error {
	if err := c.Promise(epoch, writer, ""); err != nil {
		return err
	}
	if c.ContentWriter == writer && next < c.Next {
		return &MissingRecordsError{c.Next, true} // an older copy that was delayed on its way
	}
	c.ContentWriter, c.ContentEpoch, c.Next = writer, epoch, next
	return nil
}

// Append accepts n records numbered from first on, and returns how many of them the replica has already. It fails with
// *FencedError if another writer was promised to, and with *MissingRecordsError if records before first are missing.
func (c *Copy) Append(epoch uint64, writer string, first, n uint64) (skip uint64, err error) {
	if err := c.Promise(epoch, writer, ""); err != nil {
		return 0, err
	}
	if c.ContentWriter != writer || first > c.Next || first == 0 {
		return 0, &MissingRecordsError{c.Next, c.ContentWriter == writer}
	}
	skip = min(c.Next-first, n)
	c.Next = max(c.Next, first+n)
	return skip, nil
}

// Newer reports whether this copy has all committed records that another copy has, and more. Of two copies from one writer it is
// the longer one; of two from different writers that of the later writer, as it started with a whole copy. The epoch
// of the last promise is no criterion: a replica may have promised in a later epoch and yet have fewer records.
func (c *Copy) Newer(other Copy) bool {
	if c.ContentWriter == other.ContentWriter || c.ContentEpoch == other.ContentEpoch {
		return c.Next > other.Next
	}
	return c.ContentEpoch > other.ContentEpoch
}
