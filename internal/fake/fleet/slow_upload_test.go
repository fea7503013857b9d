package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
)

// Guards against an order whose body becomes whole so late in a planned stop that it is run and its connection cut.
func TestSlowUploadAcrossAPlannedStopIsRefused(t *testing.T) {
	const drain = time.Second
	b := start(t, fleet.Options{Routers: 2, Plain: 1, PlainTime: 2 * drain, DrainTime: drain})
	stopping := b.Routers[1]
	addr := stopping.CallerAddr()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer bogota\r\nIdempotency-Key: slow\r\nContent-Length: 2\r\n\r\nx")
	// A router that has read another request has accepted this one, too.
	if r := b.caller.Get(b.ctx, addr, "/nowhere"); r.Err != nil {
		t.Fatal(r.Err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopping.Stop()
	}()
	b.waitFor(t, "the router accepts no more callers", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	<-time.After(drain / 5)
	_, _ = io.WriteString(conn, "x")
	got := "no answer"
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		got = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Valescale-Outcome"))
		_ = resp.Body.Close()
	}
	<-stopped
	if runs := target.TotalRuns(b.Plain)["slow"]; got != "503 not_run" || runs != 0 {
		t.Errorf("%s, %d runs; want 503 not_run, 0 runs", got, runs)
	}
}
