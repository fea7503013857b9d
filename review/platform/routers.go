package platform

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Zones are the availability zones of the deployment.
var Zones = []string{"sala-bog", "sala-med"}

// Router is one router process on one machine of the deployment.
type Router struct {
	Name     string
	Front    string
	Ready    string
	Control  string
	Settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

// Fleet is the set of routers of a deployment.
type Fleet struct {
	Routers []*Router
	program string
	dir     string
}

// freeAddrs returns free ports of a loopback address.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// settingsTemplate is a settings file of a small deployment, as the pages show it.
const settingsTemplate = `Node=%[1]s
Role=router
Class=edge
Serves=edge,ctl
Ip=127.0.0.1
Zone=%[2]s
Region=co-centro
Zones.sala-bog=co-centro
Zones.sala-med=co-centro
Listen.Front=%[3]s
Listen.Ready=%[4]s
Listen.Control=%[5]s
Seeds=%[6]s
Bootstrap=%[8]t
LossCounts=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.RamMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
Tolerate.Machines=2
Tolerate.Zones=0
Tolerate.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LostSlackMs=200
Bounds.ConfigMs=2000
Bounds.DowngradeMs=250
Bounds.MaxSkewMs=5000
Bounds.StrictRevoke=false
Bounds.RevokeMs=5000
Bounds.RetryRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetryExtra=56
Bounds.RecoverS=12
Bounds.IterMs=120
Bounds.RetryAfterS=10
Bounds.CapFactor=2
Platform.Addr=%[7]s
Platform.form=table
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.TxMs=5.0
Platform.PartWritesS=200
Platform.RowBytes=65536
Platform.Across=false
Platform.HistoryS=20
Platform.BlobBytes=8388608
Platform.BlobMs=25.0
Platform.BlobMbS=80.0
`

// NewFleet prepares the settings of n routers that use the store at an address.
func NewFleet(program, dir, store string, n int) (*Fleet, error) {
	addrs, err := freeAddrs(3 * n)
	if err != nil {
		return nil, err
	}
	f := &Fleet{program: program, dir: dir}
	var seeds []string
	for i := range n {
		seeds = append(seeds, addrs[3*i+2])
	}
	for i := range n {
		r := &Router{
			Name: fmt.Sprintf("edge-%s-%d", Zones[i%len(Zones)], i), Front: addrs[3*i], Ready: addrs[3*i+1], Control: addrs[3*i+2],
			Settings: filepath.Join(dir, fmt.Sprintf("settings-%d.conf", i)),
		}
		text := fmt.Sprintf(settingsTemplate, r.Name, Zones[i%len(Zones)], r.Front, r.Ready, r.Control,
			strings.Join(seeds[:min(len(seeds), 3)], ","), store, true)
		if err := os.WriteFile(r.Settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.Routers = append(f.Routers, r)
	}
	return f, nil
}

// Start starts the process of a router.
func (f *Fleet) Start(r *Router) error {
	log, err := os.OpenFile(filepath.Join(f.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VALESCALE_SETTINGS=" + r.Settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	r.cmd, r.done, r.log = cmd, done, log
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// StartAll starts all routers and waits until they are ready.
func (f *Fleet) StartAll(limit time.Duration) error {
	for _, r := range f.Routers {
		if err := f.Start(r); err != nil {
			return err
		}
	}
	for _, r := range f.Routers {
		if !r.WaitReady(limit) {
			return fmt.Errorf("router %s is not ready after %s", r.Name, limit)
		}
	}
	return nil
}

// Stop kills the processes of all routers.
func (f *Fleet) Stop() {
	for _, r := range f.Routers {
		if r.Alive() {
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
}

// Alive reports whether the router's process runs.
func (r *Router) Alive() bool {
	if r.cmd == nil {
		return false
	}
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// PID returns the id of the router's process.
func (r *Router) PID() int { return r.cmd.Process.Pid }

// Exit waits for the end of the process for at most limit and describes it.
func (r *Router) Exit(limit time.Duration) (state string, ended bool) {
	select {
	case <-r.done:
		return r.cmd.ProcessState.String(), true
	case <-time.After(limit):
		return "", false
	}
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(s syscall.Signal) error { return r.cmd.Process.Signal(s) }

// IsReady asks the router whether it is ready, as the platform does.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Ready + "/valescale/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the router says that it is ready, for at most limit.
func (r *Router) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.IsReady() {
			return true
		}
	}
	return false
}
