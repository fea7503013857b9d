package entry

import (
	"io"

	"valescale/internal/edge/relay"
)

// Ending is how the answer of an attempt ended.
type Ending string

const (
	// EndMarked means that the answer was received up to the end that its framing marks.
	EndMarked Ending = "marked"
	// EndUnmarked means that the target closed the connection of an answer whose framing marks no end.
	EndUnmarked Ending = "unmarked"
	// EndBroken means that the connection broke, or the attempt was given up.
	EndBroken Ending = "broken"
)

// receivedAnswer records the progress of an answer as it is read.
type receivedAnswer struct {
	*relay.Answer
	progress *progress
}

// Read implements io.Reader.
func (a receivedAnswer) Read(p []byte) (int, error) {
	n, err := a.Answer.Read(p)
	a.progress.bytes += int64(n)
	switch {
	case err == io.EOF && a.Framing.Marked():
		a.progress.ending = EndMarked
	case err == io.EOF:
		a.progress.ending = EndUnmarked
	case err != nil:
		a.progress.ending = EndBroken
	}
	return n, err
}
