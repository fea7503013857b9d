// Command 1 lets callers send bodies of the size that the desired state allows, about as many as one
// machine gets in a second of a burst, and checks that no router goes over the memory of its machine again
// and again.
//
// Usage: 1 FOLDER ROUTER writes FOLDER/record.txt and starts routers with the program ROUTER.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	lab "valescale/review/platform"
)

const (
	// rounds is the number of times that the callers come, gap the time between two of them.
	rounds = 3
	gap    = 5 * time.Second
	// callers is the number of requests at once. The sheet has 318 requests a second for 8 machines, and
	// bursts of 1.7 times that: 68 a second for one machine.
	callers = 48
	// largeBody is MaxBodyBytes of the desired state, usualBody the mean of run-review in the sheet.
	largeBody = 4_194_304
	usualBody = 24_000
	// work is how long a replica works on a request.
	work = 500 * time.Millisecond
	// ramMB is Limits.RamMb of the settings.
	ramMB = 284
	// restartDelay is the delay after which the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// deadline is that of the callers, tries how often each sends its request: once more on a new
	// connection, which reaches the other machine.
	deadline = 10 * time.Second
	tries    = 2
	// endsPerMachine and machines are those of the rule.
	endsPerMachine = 3
	machines       = 2
)

func main() { os.Exit(lab.Main(prepare, play)) }

// prepare starts the replicas.
func prepare(s *lab.Scene) error {
	for i := range 4 {
		_, err := s.AddReplica(fmt.Sprint("i-", i), lab.Engine, func(w http.ResponseWriter, _ *http.Request, body []byte) {
			time.Sleep(work)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, "id: 1\ndata: read %d bytes\n\n", len(body))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// play plays the bursts.
func play(s *lab.Scene) (int, error) {
	platform := newPlatform(s)
	s.Defer(platform.stop)
	bodyBytes := usualBody
	if lab.Trouble() {
		bodyBytes = largeBody
	}
	for round := range rounds {
		burst(s, round, bodyBytes)
		time.Sleep(gap)
	}
	return judge(s, platform), nil
}

// burst sends the requests of one round and records how they ended.
func burst(s *lab.Scene, round, bodyBytes int) {
	s.Printf("sent: %d requests with bodies of %d bytes in chunks, all to %s first", callers, bodyBytes, s.Fleet.Routers[0].Name)
	var mu sync.Mutex
	ends := map[string]int{}
	var waiting sync.WaitGroup
	for n := range callers {
		waiting.Go(func() {
			for try := range tries {
				id := fmt.Sprintf("%02d%02d%d", round, n, try)
				router := s.Fleet.Routers[try%len(s.Fleet.Routers)]
				answer := post(router.Front, id, bodyBytes)
				mu.Lock()
				ends[fmt.Sprintf("try %d at %s: %s", try+1, router.Name, outcome(answer))]++
				mu.Unlock()
				if answer.Complete && answer.Status == http.StatusOK {
					return
				}
			}
		})
	}
	waiting.Wait()
	for end, count := range ends {
		s.Printf("answered: %s: %d requests", end, count)
	}
}

// outcome describes an answer without what differs between requests.
func outcome(a lab.Answer) string {
	if a.Complete {
		return fmt.Sprint("status ", a.Status)
	}
	return "no answer"
}

// post sends one request on a connection of its own, its body in chunks.
func post(addr, id string, bodyBytes int) lab.Answer {
	r, err := lab.Connect(addr)
	if err != nil {
		return lab.Answer{Err: err}
	}
	defer r.Close()
	if err := r.SendChunks(http.MethodPost, lab.Resume+"1", id, deadline, bodyBytes); err != nil {
		return lab.Answer{Err: err}
	}
	return r.Receive(http.MethodPost, deadline, nil)
}

// judge counts the machines whose processes ended by themselves too often.
func judge(s *lab.Scene, platform *platform) int {
	often := 0
	for name, ends := range platform.ends() {
		s.Printf("processes of %s ended %d times over the memory of the machine", name, ends)
		if ends >= endsPerMachine {
			often++
		}
	}
	if often >= machines {
		s.Printf("BROKEN: on %d machines processes ended by themselves %d times or more, with no impairment there", often, endsPerMachine)
		return lab.Broken
	}
	return lab.Held
}
