package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The program and the variable are those of deploy/system.toml and of the users' page on settings.
const (
	edgeProgram      = "target/sequoia-edge"
	settingsVariable = "SEQUOIASILL_CONFIG"
)

// Ports are the same on all machines.
const (
	portFrontend = iota
	portReady
	portControl
	portStore // of the store's address for this machine
	portInternal
	portsNeeded = portInternal + 16
)

// bounds are those of the small deployment on the users' pages.
const bounds = `seedLagS = 3
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
`

const (
	contact = 3000 * time.Millisecond // contactMs
	drain   = 2000 * time.Millisecond // drainMs
	apply   = 2000 * time.Millisecond // configApplyMs
)

// machine is an entry machine of the system.
type machine struct {
	fleet *fleet
	name  string
	zone  string
	ip    string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet is the system's machines and their platform.
type fleet struct {
	dir      string
	net      string // first two bytes of all addresses
	port     int    // the first port
	store    *store
	machines []*machine
	seeds    int // number of machines that are seeds, the first of each zone in turn
}

var zones = []string{"dbn-a", "dbn-b", "pmb-c"}

// newFleet prepares a number of machines and starts the platform.
func newFleet(n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), seeds: len(zones)}
	for range 50 {
		f.net, f.port = fmt.Sprintf("127.%d", 30+rand.IntN(200)), 20000+rand.IntN(10000)
		if f.isFree(n) {
			break
		}
	}
	for i := range n {
		m := &machine{fleet: f, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d.%d", f.net, 1+i%len(zones), 10+i/len(zones))}
		m.name = fmt.Sprintf("edge-%s-%d", m.zone, 1+i/len(zones))
		f.machines = append(f.machines, m)
		l, err := net.Listen("tcp", m.address(portStore))
		if err != nil {
			return nil, err
		}
		f.store.serve(l, m.name)
	}
	return f, nil
}

// isFree reports whether the ports are free on all machines.
func (f *fleet) isFree(n int) bool {
	for i := range n {
		for p := range portsNeeded {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d.%d:%d", f.net, 1+i%len(zones), 10+i/len(zones), f.port+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// replicaAddress returns a new address for a replica.
func (f *fleet) replicaAddress(i int) string {
	return fmt.Sprintf("%s.%d.%d:%d", f.net, 100+i/200, 1+i%200, f.port)
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.fleet.port+port))
}

// settings returns the settings file of a machine.
func (m *machine) settings(bootstrap bool) string {
	f, seeds := m.fleet, ""
	for i := range f.seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += strconv.Quote(f.machines[i].address(portControl))
	}
	zoneTable := ""
	for _, z := range zones {
		zoneTable += z + " = \"za-east\"\n"
	}
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
%s[listen]
frontend = %q
ready = %q
control = %q
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
%s[platform]
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
`, m.name, m.ip, m.zone, f.port+portInternal, f.port+portInternal+15, seeds, bootstrap, zoneTable,
		m.address(portFrontend), m.address(portReady), m.address(portControl), bounds, m.address(portStore), m.address(portStore))
}

// start starts the process of a machine.
func (m *machine) start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	m.cmd = exec.Command(edgeProgram)
	m.cmd.Env = []string{settingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	return m.cmd.Start()
}

// kill ends the process of a machine at once.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.cmd = nil
}

// terminate sends SIGTERM to the process of a machine.
func (m *machine) terminate() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Signal(syscall.SIGTERM)
}

// wait waits until the process of a machine has ended, and kills it after graceS.
func (m *machine) wait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	timer := time.AfterFunc(grace, func() { _ = m.cmd.Process.Kill() })
	defer timer.Stop()
	_ = m.cmd.Wait()
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		wg.Go(m.kill)
	}
	wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.address(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready.
func (f *fleet) startAll(bootstrap bool, wait time.Duration) error {
	for _, m := range f.machines {
		if err := m.start(bootstrap); err != nil {
			return err
		}
	}
	return f.awaitReady(wait)
}

func (f *fleet) awaitReady(wait time.Duration) error {
	for end := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		missing := ""
		for _, m := range f.machines {
			if !m.isReady() {
				missing = m.name
				break
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", missing)
		}
	}
}
