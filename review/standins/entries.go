package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is the time from SIGTERM until the platform kills a process (graceS).
const grace = 8 * time.Second

// Ports of an entry. Each entry has a loopback address of its own.
const (
	portFrontend  = "8360"
	portReady     = "8365"
	portControl   = "8367"
	firstInternal = 7500
	lastInternal  = 7515
)

// entry is a process of the system.
type entry struct {
	name, zone, ip string
	settings       string // path of its settings file
	log            string // path of its log
	program        string
	record         *record

	mu  sync.Mutex
	cmd *exec.Cmd
	up  bool // ready at the last checks
}

// zones are the availability zones of the small deployment.
var zones = []string{"dbn-a", "dbn-b", "pmb-c"}

// newEntries prepares one entry a zone.
func newEntries(dir, program string, p *platform, rec *record) ([]*entry, error) {
	var out []*entry
	for _, zone := range zones {
		ip, err := freeIP()
		if err != nil {
			return nil, err
		}
		name := "edge-" + zone + "-1"
		out = append(out, &entry{
			name: name, zone: zone, ip: ip, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"), program: program, record: rec,
		})
	}
	var seeds []string
	for _, e := range out {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(e.ip, portControl)))
	}
	for _, e := range out {
		if err := os.WriteFile(e.settings, []byte(e.settingsText(strings.Join(seeds, ","), p.address, true)), 0o600); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// freeIP returns a loopback address at which the ports of an entry are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+rand.IntN(60), rand.IntN(256), 1+rand.IntN(254))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, portFrontend))
		if err == nil {
			return ip, l.Close()
		}
	}
	return "", fmt.Errorf("no loopback address is free")
}

func (e *entry) settingsText(seeds, platform string, bootstrap bool) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "za-east"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = %t
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","rollout","platform"]
[zones]
dbn-a = "za-east"
dbn-b = "za-east"
pmb-c = "za-east"
[listen]
frontend = "%[2]s:8360"
ready = "%[2]s:8365"
control = "%[2]s:8367"
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
budgetSlack = 58
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
reuseWindowS = 10
[platform]
address = %[8]q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = %[8]q
ratePerS = 50.0
duties = ["metering","autoscaling"]
dutyPerS = 50.0
`, e.name, e.ip, e.zone, firstInternal, lastInternal, seeds, bootstrap, platform)
}

// notFirstStart changes the settings for later starts.
func (e *entry) notFirstStart() error {
	b, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, bytes.Replace(b, []byte("bootstrap = true"), []byte("bootstrap = false"), 1), 0o600)
}

// starts are the commands to start. One thread starts all of them and lives on, as the kernel ends the
// processes with the thread that started them.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
}

// start starts the process with the deploy file's command.
func (e *entry) start() error {
	f, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(e.program) // in the repository's root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SEQUOIASILL_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	e.record.add("entry started", "entry", e.name, "pid", cmd.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL and waits for it.
func (e *entry) kill() {
	e.mu.Lock()
	cmd := e.cmd
	e.cmd, e.up = nil, false
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	e.record.add("entry killed", "entry", e.name)
}

// terminate sends SIGTERM and waits until the process has ended, at most for the grace period.
func (e *entry) terminate() {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	e.record.add("SIGTERM", "entry", e.name)
	timer := time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
	e.mu.Lock()
	e.cmd, e.up = nil, false
	e.mu.Unlock()
	e.record.add("entry ended", "entry", e.name)
}

// isUp reports whether the platform forwards new channels to the entry.
func (e *entry) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// watchReadiness asks the entry once a second whether it is ready. Two misses take it out.
func (e *entry) watchReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses := 0; ; time.Sleep(time.Second) {
		resp, err := client.Get("http://" + net.JoinHostPort(e.ip, portReady) + "/-/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		misses++
		if ok {
			misses = 0
		}
		e.mu.Lock()
		before := e.up
		e.up = ok || e.up && misses < 2
		if e.up != before {
			e.record.add("readiness", "entry", e.name, "ready", e.up)
		}
		e.mu.Unlock()
	}
}
