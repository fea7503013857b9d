package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one router process.
type router struct {
	name                  string
	front, ready, control string
	settings              string
	log                   string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// fleet is a small deployment: the store and the routers.
type fleet struct {
	dir     string
	store   *store
	addr    string
	routers []*router
}

// zones are the zones of the deployment, all in one region.
var zones = []string{"sala-bog", "sala-med"}

// Ports of routers lie below those that the system gives to connections, which could take one while a router restarts.
const (
	firstPort = 20000
	portCount = 12000
	portTries = 100
)

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	var err error
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

// newFleet starts the store and lays out the settings of the routers. The returned function ends all processes.
func newFleet(routers int, bootstrap bool) (*fleet, func(), error) {
	dir, err := os.MkdirTemp("", "review-stage")
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{dir: dir, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	f.addr = l.Addr().String()
	server := &http.Server{Handler: f.store.handler()}
	go func() { _ = server.Serve(l) }()
	go f.endOnSignal()
	for i := range routers {
		r := &router{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1)}
		for _, addr := range []*string{&r.front, &r.ready, &r.control} {
			if *addr, err = freeAddr(); err != nil {
				return nil, nil, err
			}
		}
		r.settings = filepath.Join(dir, r.name+".conf")
		r.log = filepath.Join(dir, r.name+".log")
		f.routers = append(f.routers, r)
	}
	for i, r := range f.routers {
		if err := os.WriteFile(r.settings, []byte(f.settingsOf(r, i, bootstrap)), 0o600); err != nil {
			return nil, nil, err
		}
	}
	return f, func() {
		f.close()
		_ = server.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

// endOnSignal ends all processes if this one is told to end.
func (f *fleet) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	f.close()
	_ = os.RemoveAll(f.dir)
	os.Exit(exitNotRun)
}

// settingsOf returns the settings file of a router, as the users' deployment page lays it out.
func (f *fleet) settingsOf(r *router, i int, bootstrap bool) string {
	var seeds []string
	for _, other := range f.routers[:min(len(f.routers), 3)] {
		seeds = append(seeds, other.control)
	}
	lines := []string{
		"Node=" + r.name, "Role=router", "Class=edge", "Serves=edge,ctl", "Ip=127.0.0.1", "Zone=" + zones[i%len(zones)], "Region=co-centro",
		"Zones.sala-bog=co-centro", "Zones.sala-med=co-centro",
		"Listen.Front=" + r.front, "Listen.Ready=" + r.ready, "Listen.Control=" + r.control, "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("Bootstrap=%v", bootstrap), "LossCounts=false",
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.RamMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=vip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform", "Tolerate.Machines=2", "Tolerate.Zones=0", "Tolerate.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
		"Bounds.GraceS=8", "Bounds.LostSlackMs=200", "Bounds.ConfigMs=2000", "Bounds.DowngradeMs=250", "Bounds.MaxSkewMs=5000",
		"Bounds.RetryRatio=0.2", "Bounds.RetryWindowS=10", "Bounds.RetryExtra=56", "Bounds.RecoverS=12", "Bounds.IterMs=120", "Bounds.RetryAfterS=10",
		"Bounds.CapFactor=2", "Platform.Addr=" + f.addr, "Platform.form=table", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
		"Platform.TxMs=5.0", "Platform.PartWritesS=200", "Platform.RowBytes=65536", "Platform.Across=false", "Platform.HistoryS=20",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a router with the command of the deploy file.
func (f *fleet) start(r *router) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/router")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VALESCALE_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.cmd, r.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	return f.awaitReady(f.routers, 20*time.Second)
}

// awaitReady waits until routers answer the platform's question with 200.
func (f *fleet) awaitReady(routers []*router, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, r := range routers {
		for !r.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// isReady asks a router as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/valescale/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to a router.
func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// close ends the routers.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd == nil {
			continue
		}
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.ended
	}
}

// routeSpec is one route of the desired state.
type routeSpec struct {
	Name, Host, Prefix, Type, Service string
	TimeoutMs, SloMs, ItlTargetMs     int
	Attempts, Prio                    int
	Public, Sticky, Resumable         bool
}

// Names of the desired state that requesters use.
const (
	hostName   = "ficu95.example"
	tenantName = "hule930"
	apiKey     = "n2ctnfzs989anu6wsjnb"
)

// configure writes a desired state.
func (f *fleet) configure(version int, routes []routeSpec, services []map[string]any) {
	f.store.put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHdrBytes": 16384, "MaxBodyBytes": 4194304, "HdrTimeoutMs": 5000, "IdleMs": 15000},
		"Tenants": []map[string]any{{"Name": tenantName, "ApiKeys": []string{apiKey}, "Prio": 0}},
	})
}
