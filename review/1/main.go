// Command 1 lets callers send bodies of the size that the desired state allows, fewer at once than one
// machine gets in a second of a burst, and checks that no router goes over the memory of its machine again
// and again. Without the disruption the same requests come one after another.
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
	// callers is the number of requests of a round. The sheet has 318 requests a second for 8 machines, and
	// bursts of 1.7 times that: 68 a second for one machine.
	callers = 48
	// evenPause is the time between two requests of a round without a burst.
	evenPause = 100 * time.Millisecond
	// bodyBytes is MaxBodyBytes of the desired state.
	bodyBytes = 4_194_304
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
		_, err := s.AddReplica(fmt.Sprint("i-", i), lab.Engine, func(w http.ResponseWriter, _ *http.Request, body []byte) error {
			time.Sleep(work)
			w.Header().Set("Content-Type", "text/event-stream")
			_, err := fmt.Fprintf(w, "id: 1\ndata: read %d bytes\n\n", len(body))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// play plays the rounds.
func play(s *lab.Scene) (int, error) {
	platform := newPlatform(s)
	s.Defer(platform.stop)
	pause := evenPause
	if lab.Trouble() {
		pause = 0
	}
	for round := range rounds {
		sendRound(s, round, pause)
		time.Sleep(gap)
	}
	return judge(s, platform), nil
}

// sendRound sends the requests of one round with a pause after each and records how they ended.
func sendRound(s *lab.Scene, round int, pause time.Duration) {
	s.Printf("sent: %d requests, one each %d ms, with bodies of %d bytes in chunks, all to %s first",
		callers, pause.Milliseconds(), bodyBytes, s.Fleet.Routers[0].Name)
	var mu sync.Mutex
	ends := map[string]int{}
	var waiting sync.WaitGroup
	for n := range callers {
		waiting.Go(func() {
			for try := range tries {
				id := fmt.Sprintf("%02d%02d%d", round, n, try)
				router := s.Fleet.Routers[try%len(s.Fleet.Routers)]
				answer := post(router.Front, id)
				mu.Lock()
				ends[fmt.Sprintf("try %d at %s: %s", try+1, router.Name, outcome(answer))]++
				mu.Unlock()
				if answer.Complete && answer.Status == http.StatusOK {
					return
				}
			}
		})
		time.Sleep(pause)
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
func post(addr, id string) lab.Answer {
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
