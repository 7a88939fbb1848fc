package state

import "fmt"

// Sealed is a holder's word that it has promised itself to another writer.
type FencedError struct {
	Epoch  uint64 // promised
	Writer string
}

func (f *FencedError) Error() string {
	return fmt.Sprintf("the holder takes records of epoch %d by %s only", f.Epoch, f.Writer)
}

// Remedy says what an operator can do.
func (f *FencedError) Remedy() string {
	return "nothing if a relay was lost or restarted: an heir or its next process goes on; else see whether two relays share a name or a folder"
}

// Behind is a holder's word that it lacks what comes before some records.
type MissingRecordsError struct {
	Next  uint64 // number of the record that it wants next
	Whole bool   // it has a copy of this writer's, up to there
}

func (m *MissingRecordsError) Error() string {
	return fmt.Sprintf("the holder wants record %d next (has a copy: %v)", m.Next, m.Whole)
}

// Remedy says what an operator can do.
func (m *MissingRecordsError) Remedy() string {
	return "nothing: the writer sends what is missing, or the whole"
}

// Copy is what a holder knows of one estate beside its records. The zero value has promised nothing.
type Copy struct {
	Epoch  uint64 `json:"epoch"`  // newest that it has promised itself to
	Writer string `json:"writer"` // in that epoch
	// What it has was written by From, who gave it the whole in epoch Have, up to the record before Next. From is empty for
	// nothing.
	ContentWriter string `json:"from,omitempty"`
	ContentEpoch  uint64 `json:"have,omitempty"`
	Next          uint64 `json:"next,omitempty"`
}

// Promise has the holder take records of a writer, and of none before it any more. Before names the writer that this one
// takes over from in the same epoch.
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

// Reset takes a whole copy, in which the next record is of a number.
func (c *Copy) Reset(epoch uint64, writer string, next uint64) error {
	if err := c.Promise(epoch, writer, ""); err != nil {
		return err
	}
	if c.ContentWriter == writer && next < c.Next {
		return &MissingRecordsError{c.Next, true} // an older one that was long on its way
	}
	c.ContentWriter, c.ContentEpoch, c.Next = writer, epoch, next
	return nil
}

// Take takes n records, the first of a number, and tells how many of them it has already.
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

// Newer tells whether this copy has all that another has, and more. Of one writer's the longer has; of two, that of the
// writer that came later, for it began with the whole. In which epoch a holder heard last says nothing: one that got nothing
// new may have heard later than one that has more.
func (c *Copy) Newer(other Copy) bool {
	if c.ContentWriter == other.ContentWriter || c.ContentEpoch == other.ContentEpoch {
		return c.Next > other.Next
	}
	return c.ContentEpoch > other.ContentEpoch
}
