package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/rule/policy"
)

const (
	pathRequests    = 4000
	pathConcurrency = 16
	pathBody        = `{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"q"}]}`
)

// path measures the overhead of the router: the same requests are sent to an engine directly and
// through a router. All run on loopback in one process, so only the ratios are meaningful.
func path(options) []row {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, stop, err := fleet.New(fleet.Options{Routers: 1, Engines: 1, Engine: target.EngineOptions{}})
	if err != nil {
		panic(err)
	}
	defer stop()
	if err := f.AwaitReady(ctx, 0); err != nil {
		panic(err)
	}
	operator := fleet.NewOperator(http.DefaultClient, f.Routers[0].AdminAddr())
	revision, err := operator.Apply(ctx, "path", fmt.Sprintf(`
[service judge]
kind = engine
echo = true
[policy runs]
service = "judge"
[workspace bogota]
policy = runs
token_sha256 = %s
`, policy.HashToken("bogota")))
	if err != nil {
		panic(err)
	}
	if err := f.AwaitReady(ctx, revision); err != nil {
		panic(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * pathConcurrency}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	direct := "http://" + f.Engines[0].Addr() + "/v1/chat/completions"
	routed := "http://" + f.Routers[0].CallerAddr() + "/v1/chat/completions"
	var rows []row
	for _, concurrency := range []int{1, pathConcurrency} {
		burst(client, direct, concurrency, pathRequests/4)
		burst(client, routed, concurrency, pathRequests/4)
		a := burst(client, direct, concurrency, pathRequests)
		b := burst(client, routed, concurrency, pathRequests)
		rows = append(rows, row{
			Case: fmt.Sprintf("%d at once", concurrency), Strategy: "router over direct", MaxRatio: b.p99 / a.p99, P99Ratio: b.p50 / a.p50,
			CPUMicros: b.micros - a.micros,
			Note: fmt.Sprintf("processor a request: direct %.0f us, routed %.0f us (caller and engine included); a core's worth of the router's part is %.0f requests/s",
				a.micros, b.micros, 1e6/(b.micros-a.micros)),
		})
	}
	return rows
}

// burstResult is the latency in seconds and the CPU time per request of a burst.
type burstResult struct {
	p50    float64
	p99    float64
	micros float64
}

// burst sends requests with the given concurrency and measures the time to the first byte of each
// answer.
func burst(client *http.Client, url string, concurrency, requests int) burstResult {
	var mu sync.Mutex
	var times []float64
	var wg sync.WaitGroup
	started := cpuTime()
	for w := range concurrency {
		wg.Go(func() {
			for n := range requests / concurrency {
				d, err := timeToFirstByte(client, url, fmt.Sprintf("%d-%d", w, n))
				if err != nil {
					panic(err)
				}
				mu.Lock()
				times = append(times, d)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	spent := cpuTime() - started
	sort.Float64s(times)
	return burstResult{
		p50: percentile(times, 50), p99: percentile(times, 99),
		micros: float64(spent.Microseconds()) / float64(len(times)),
	}
}

func timeToFirstByte(client *http.Client, url, chat string) (float64, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(pathBody))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer bogota")
	req.Header.Set("Valescale-Chat", chat)
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var one [1]byte
	if _, err := io.ReadFull(resp.Body, one[:]); err != nil {
		return 0, err
	}
	d := time.Since(started).Seconds()
	_, err = io.Copy(io.Discard, resp.Body)
	return d, err
}
