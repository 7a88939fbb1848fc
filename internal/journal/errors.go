package journal

// ErrFull says that the journal has no room for one more message.
var ErrFull = &Failure{What: "disk budget used up", Advice: "give the relay more disk_mb, or see why what it holds does not end"}

// Failure is something that a journal could not do.
type Failure struct {
	What   string // could not be done
	Err    error  // the system's word; nil if it has none
	Advice string // what an operator can do
}

func (f *Failure) Error() string {
	if f.Err == nil {
		return "journal: " + f.What
	}
	return "journal: " + f.What + ": " + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// Remedy says what an operator can do.
func (f *Failure) Remedy() string { return f.Advice }

// onDisk is a failure of the folder.
func diskFailure(problem string, err error) error {
	return &Failure{problem, err, "see whether the folder that lasts can be written and has room; nothing is taken on until then"}
}
