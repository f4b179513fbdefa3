package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// edge is a process of the project's entry program, started as the deploy file says.
type edge struct {
	name  string
	zone  string
	ip    string
	ports ports
	store string
	seeds []string
	dir   string
	cmd   *exec.Cmd
	done  chan struct{}
}

// ports are the ports that all machines of a case use.
type ports struct{ frontend, ready, control, internal int }

func (e *edge) frontend() string { return fmt.Sprintf("%s:%d", e.ip, e.ports.frontend) }

// settingsTemplate is the settings file of DEPLOY.md with the bounds of the site.
const settingsTemplate = `nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "midlands"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","rollout","platform"]
[zones]
trent-a = "midlands"
soar-b = "midlands"
derwent-c = "midlands"
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 140000
fencingEnforced = true
leaseMs = 3000
thawMs = 300
usageWindowS = 5
usageOff = 0.05
usageDelayS = 10
exposureShare = 0.1
exposureSlack = 50
rollbackMs = 5000
recoveryS = 12
iterationMs = 120
reuseWindowS = 4.7
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = %q
ratePerS = 50.0
duties = ["metering","autoscaling"]
dutyPerS = 50.0
`

func (e *edge) start(dir string, seeds []string) error {
	e.dir, e.seeds = dir, seeds
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	settings := fmt.Sprintf(settingsTemplate, e.name, e.ip, e.zone, e.ports.internal, e.ports.internal+15, strings.Join(quoted, ","),
		e.ip, e.ports.frontend, e.ip, e.ports.ready, e.ip, e.ports.control, e.store, e.store)
	path := filepath.Join(dir, e.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, e.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/sequoia-edge")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIASILL_CONFIG=" + path, "GOMAXPROCS=1"}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func() {
		_ = e.cmd.Wait()
		_ = out.Close()
		close(e.done)
	}()
	return nil
}

// kill ends the process if it runs.
func (e *edge) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
}

func (e *edge) awaitReady(end time.Time) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(end) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", e.ip, e.ports.ready))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// freePort returns a port that is free on all addresses now, for TCP.
func freePort(ips []string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port < 60000 && isFree(ips, port, 16) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func isFree(ips []string, port, count int) bool {
	for _, ip := range ips {
		for p := port; p < port+count; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
