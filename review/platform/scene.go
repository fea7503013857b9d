package platform

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// maxDuration limits a case.
	maxDuration = 110 * time.Second
	// startTimeout is the time in which all routers must be ready.
	startTimeout = 10 * time.Second
	// settleTime is the time from then to the beginning of a case. It is longer than ContactMs.
	settleTime = 4 * time.Second
	// storeDelay is the time of an answer of the store in the sheet.
	storeDelay = 4 * time.Millisecond
	// routerCount is the number of machines.
	routerCount = 2
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case is to play its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Scene is what a case plays with.
type Scene struct {
	*Record
	Store *Store
	Fleet *Fleet

	mu       sync.Mutex
	cleanups []func()
}

// Defer has a function called at the end of the case.
func (s *Scene) Defer(cleanup func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanups = append(s.cleanups, cleanup)
}

// close calls the deferred functions, the latest first.
func (s *Scene) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
	s.cleanups = nil
}

// Main runs a case with the arguments FOLDER and ROUTER, a folder for the record and the program of a
// router, and returns the exit status. The function prepare starts the replicas; play is called once the
// routers have been ready for a while and returns whether the rule held.
func Main(prepare func(*Scene) error, play func(*Scene) (int, error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: FOLDER ROUTER")
		return NotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	s := &Scene{Record: record}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	verdict := make(chan int, 1)
	go func() { verdict <- s.run(os.Args[2], prepare, play) }()
	select {
	case v := <-verdict:
		return v
	case <-stop:
	case <-time.After(maxDuration):
	}
	record.Printf("could not run: stopped before the end")
	return NotRun
}

// run runs the case.
func (s *Scene) run(program string, prepare func(*Scene) error, play func(*Scene) (int, error)) int {
	err := s.start(program, prepare)
	if err != nil {
		s.Printf("could not run: %v", err)
		return NotRun
	}
	time.Sleep(settleTime)
	verdict, err := play(s)
	if err != nil {
		s.Printf("could not run: %v", err)
		return NotRun
	}
	if verdict == Held {
		s.Printf("held")
	}
	return verdict
}

// start starts the store, the replicas and the routers.
func (s *Scene) start(program string, prepare func(*Scene) error) error {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return err
	}
	s.Defer(func() { _ = os.RemoveAll(dir) })
	store, stopStore, err := NewStore(storeDelay)
	if err != nil {
		return err
	}
	s.Store = store
	s.Defer(stopStore)
	if err := prepare(s); err != nil {
		return err
	}
	store.Put("op", "config", Config(1))
	s.Fleet, err = NewFleet(program, dir, store.Addr(), routerCount)
	if err != nil {
		return err
	}
	s.Defer(s.Fleet.Stop)
	return s.Fleet.StartAll(startTimeout)
}

// AddReplica starts a replica of a service whose work answers requests.
func (s *Scene) AddReplica(id, service string, work Work) (*Replica, error) {
	replica, stop, err := NewReplica(id, work)
	if err != nil {
		return nil, err
	}
	s.Defer(stop)
	s.Store.PutReplica(id, service, replica.Addr(), "ready", 1)
	return replica, nil
}
