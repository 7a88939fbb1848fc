package journal

// ErrFull tells that the journal has no space for one more message.
var ErrFull = &Failure{What: "disk budget used up", Advice: "give the relay more disk_mb, or see why what it holds does not end"}

// Failure is an operation of a journal that failed.
type Failure struct {
	What   string // the problem
	Err    error  // error of the operating system; nil if there is none
	Advice string // what an operator can do
}

func (f *Failure) Error() string {
	if f.Err == nil {
		return "journal: " + f.What
	}
	return "journal: " + f.What + ": " + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// Remedy tells what an operator can do.
func (f *Failure) Remedy() string { return f.Advice }

// diskFailure returns the Failure for an error of the file system.
func diskFailure(problem string, err error) error {
	return &Failure{problem, err, "see whether the folder that lasts can be written and has room; nothing is taken on until then"}
}
