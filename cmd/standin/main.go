// Command standin serves a fake platform and fake targets, so that routers can be run against them
// as processes of their own. It prints the platform's URL. PUT /boxes replaces the routers on the
// platform's list; PUT /down and DELETE /down take the store down and up again; GET /runs returns
// the number of runs of each order.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"valescale/internal/fake/store"
	"valescale/internal/fake/target"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
)

// options contains the flags of the command line.
type options struct {
	Addr      string        `long:"addr" default:"127.0.0.1:0" description:"listen address of the platform"`
	Engines   int           `long:"engines" default:"3" description:"number of engines"`
	Plain     int           `long:"plain" default:"1" description:"number of replicas of the plain service"`
	PlainTime time.Duration `long:"plain-time" default:"0s" description:"duration of a request to the plain service"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

const (
	// timePerWord is the time that an engine takes for one word of an answer.
	timePerWord = 20 * time.Millisecond
	// engineSlots is the number of requests that an engine runs at once, and cachedChats the number
	// of chats whose prefixes it caches.
	engineSlots = 24
	cachedChats = 100
	// zoneCount is the number of availability zones over which the targets are spread in turn.
	zoneCount = 3
)

// run serves the platform and the targets until the process is interrupted.
func run(o options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	platform := store.New()
	var targets []boxes.Box
	var plain []*target.Plain
	for i := range o.Engines {
		e := target.NewEngine(target.EngineOptions{PerWord: timePerWord, CacheSize: cachedChats, Slots: engineSlots})
		box, err := serveTarget(fmt.Sprintf("engine-%02d", i), "judge", i, e.Handler())
		if err != nil {
			return err
		}
		targets = append(targets, box)
	}
	for i := range o.Plain {
		p := target.NewPlain(o.PlainTime)
		box, err := serveTarget(fmt.Sprintf("board-%02d", i), "board", i, p.Handler())
		if err != nil {
			return err
		}
		targets = append(targets, box)
		plain = append(plain, p)
	}
	platform.SetBoxes(targets)
	l, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler(platform, targets, plain)}
	go func() { _ = server.Serve(l) }()
	fmt.Println("http://" + l.Addr().String())
	<-ctx.Done()
	return server.Close()
}

// serveTarget serves the target with index i on a free port and returns its entry in the list of boxes.
func serveTarget(id string, service ident.Service, i int, h http.Handler) (boxes.Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return boxes.Box{}, err
	}
	go func() { _ = http.Serve(l, h) }()
	return boxes.Box{
		ID: id, Role: boxes.TargetRole, Addr: l.Addr().String(), Service: service, Zone: ident.Zone(fmt.Sprint("zone-", i%zoneCount)),
		Region: "co-central", State: boxes.Live, Incarnation: 1,
	}, nil
}

// handler serves the platform's protocols and the commands that the package comment lists.
func handler(platform *store.Store, targets []boxes.Box, plain []*target.Plain) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", platform.Handler())
	mux.HandleFunc("PUT /boxes", func(w http.ResponseWriter, r *http.Request) {
		var routers []boxes.Box
		if err := json.NewDecoder(r.Body).Decode(&routers); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		platform.SetBoxes(slices.Concat(targets, routers))
	})
	mux.HandleFunc("PUT /down", func(http.ResponseWriter, *http.Request) { platform.SetDown(true) })
	mux.HandleFunc("DELETE /down", func(http.ResponseWriter, *http.Request) { platform.SetDown(false) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(target.TotalRuns(plain))
	})
	return mux
}
