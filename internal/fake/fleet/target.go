package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"valescale/internal/fake/target"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
)

// Engine is a fake engine of the fleet.
type Engine struct {
	*target.Engine
	ID   ident.Target
	Zone ident.Zone
	box  boxes.Box
	stop func()
	// crashed is set once a request has crashed the engine.
	crashed atomic.Bool
}

func (f *Fleet) addEngine(i int) error {
	options := f.options.Engine
	options.Name = ident.Target(fmt.Sprintf("engine-%02d", i))
	options.Incarnation = 1
	e := &Engine{Engine: target.NewEngine(options), ID: options.Name, Zone: f.zone(i)}
	addr, stop, err := serve(e.crashOnRequest(f.options.Fatal))
	if err != nil {
		return err
	}
	e.stop = stop
	e.box = boxes.Box{
		ID: string(e.ID), Role: boxes.TargetRole, Addr: addr, Service: "judge", Zone: e.Zone, Region: Region,
		State: boxes.Live, Incarnation: 1,
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	f.Engines = append(f.Engines, e)
	f.setBox(e.box)
	return nil
}

func (f *Fleet) addPlain(i int) error {
	p := target.NewPlain(f.options.PlainTime)
	addr, err := f.serve(p.Handler())
	if err != nil {
		return err
	}
	f.Plain = append(f.Plain, p)
	f.setBox(boxes.Box{
		ID: fmt.Sprintf("board-%02d", i), Role: boxes.TargetRole, Addr: addr, Service: "board", Zone: f.zone(i),
		Region: Region, State: boxes.Live, Incarnation: 1,
	})
	return nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.box.Addr }

// crashOnRequest returns the engine's handler; a request that contains the given text crashes the
// engine. Without a text the handler never does so.
func (e *Engine) crashOnRequest(crashText string) http.Handler {
	next := e.Handler()
	if crashText == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && bytes.Contains(body, []byte(crashText)) {
			e.crashed.Store(true)
			e.Kill()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Crashed reports whether a request has crashed the engine.
func (e *Engine) Crashed() bool { return e.crashed.Load() }

// Kill stops an engine at once and closes all its connections.
func (e *Engine) Kill() { e.stop() }
