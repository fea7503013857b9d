package cmds

import (
	"io"
	"os"

	"valescale/internal/oper/trace"
	"valescale/internal/plat/fault"
)

// logFile is a log given on the command line.
type logFile struct {
	// name is the name in messages.
	name string
	// path is the file that is read. It is empty for standard input.
	path string
}

// logFiles returns the logs of the given files, or standard input if there are none.
func logFiles(files []string) []logFile {
	if len(files) == 0 {
		return []logFile{{name: "standard input"}}
	}
	var out []logFile
	for _, file := range files {
		out = append(out, logFile{name: file, path: file})
	}
	return out
}

// open opens the log.
func (l logFile) open() (io.ReadCloser, error) {
	if l.path == "" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(l.path)
	if err != nil {
		return nil, fault.New("cmds.explain", Unreadable, err)
	}
	return f, nil
}

// isRegular reports whether the log can be opened and read several times. A log that does not exist counts
// as one, so that its error is reported when it is opened.
func (l logFile) isRegular() bool {
	if l.path == "" {
		return false
	}
	info, err := os.Stat(l.path)
	return err != nil || info.Mode().IsRegular()
}

// copied returns the log with its contents copied to a temporary file.
func (l logFile) copied() (logFile, error) {
	const op = "cmds.explain"
	in, err := l.open()
	if err != nil {
		return l, err
	}
	defer in.Close()
	out, err := os.CreateTemp("", "valescale-explain-*.log")
	if err != nil {
		return l, fault.New(op, Unreadable, err)
	}
	_, err = io.Copy(out, in)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(out.Name())
		return l, fault.New(op, Unreadable, err)
	}
	return logFile{name: l.name, path: out.Name()}, nil
}

// rereadable returns the logs with copies in place of standard input, pipes and other logs that can be read
// once. The returned function removes the copies.
func rereadable(logs []logFile) ([]logFile, func(), error) {
	var out []logFile
	var copies []string
	removeCopies := func() {
		for _, file := range copies {
			// An error leaves a file in the directory for temporary files.
			_ = os.Remove(file)
		}
	}
	for _, l := range logs {
		if !l.isRegular() {
			c, err := l.copied()
			if err != nil {
				removeCopies()
				return nil, nil, err
			}
			l, copies = c, append(copies, c.path)
		}
		out = append(out, l)
	}
	return out, removeCopies, nil
}

// openLogs opens the logs. The returned function closes them.
func openLogs(logs []logFile) ([]trace.Source, func(), error) {
	var sources []trace.Source
	var open []io.Closer
	closeAll := func() {
		for _, f := range open {
			// An error is of no consequence: the file was opened for reading only.
			_ = f.Close()
		}
	}
	for _, l := range logs {
		f, err := l.open()
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		open = append(open, f)
		sources = append(sources, trace.Source{Name: l.name, Reader: f})
	}
	return sources, closeAll, nil
}
