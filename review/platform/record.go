package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) { r.printfAt(time.Now(), format, args...) }

func (r *Record) printfAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", at.Sub(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Runs writes the runs of a replica.
func (r *Record) Runs(rep *Replica) {
	for _, run := range rep.Runs() {
		end := "its answer was not written in full"
		if !run.Ended.IsZero() {
			end = fmt.Sprintf("its answer was written in full at %.3f s", run.Ended.Sub(r.start).Seconds())
		}
		r.printfAt(run.Began, "ran: request %s at %s; %s", run.Request, run.Replica, end)
	}
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
