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
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the sheet of the site otakou-olw.
const bounds = `[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
back_ms = 250
skew_max_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 52
expose_share = 0.1
expose_slack = 50
rollback_ms = 5000
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
transit_ms = 120
reuse_window_s = 20
fencing_required = true
lease_ms = 3000
thaw_ms = 300
version_ms = 10000
version_all_ms = 14000
ttl_max_s = 5
`

// daemon is one entry as a process. It is started again when it ends, as the platform does.
type daemon struct {
	rec                     *record
	name, host, dir         string
	settings                string
	front, ready, directory string
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	started                 time.Time
	stopped                 bool
	ended                   chan struct{}
}

// randomHost returns a loopback address.
func randomHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
}

// ports are the first of ten free ports on all hosts, below the range for outgoing connections.
func freePorts(hosts []string) (base int, err error) {
	for range 100 {
		base = 20000 + 10*rand.IntN(1000)
		if isFree(hosts, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %v", hosts)
}

func isFree(hosts []string, base int) bool {
	for _, host := range hosts {
		for i := range 10 {
			l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(base+i)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startDaemons starts n daemons with the command of the deploy file and waits until all are ready.
func startDaemons(rec *record, dir string, n int, storeAddr string, keep time.Duration) (list []*daemon, err error) {
	var hosts []string
	for range n {
		hosts = append(hosts, randomHost())
	}
	base, err := freePorts(hosts)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, h := range hosts {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(h, strconv.Itoa(base))))
	}
	for i, host := range hosts {
		at := func(offset int) string { return net.JoinHostPort(host, strconv.Itoa(base+offset)) }
		d := &daemon{
			rec: rec, name: fmt.Sprintf("front-%d", i+1), host: host, dir: dir, front: at(5), ready: at(2), directory: at(1),
			ended: make(chan struct{}),
		}
		d.settings = filepath.Join(dir, d.name+".toml")
		text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = %q
zone = "zone-dunedin"
region = "nz-south"
internal_ports = [%d, %d]
seed_nodes = [%s]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","rollout","platform"]
[zones]
zone-dunedin = "nz-south"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
%s[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = %d
part_mb = 200
ttl_min_ms = 1000
`, d.name, host, base+7, base+8, strings.Join(seeds[:min(n, 3)], ","), beatMS, d.front, d.ready, at(0), d.directory, bounds, storeAddr, int(keep.Seconds()))
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return list, err
		}
		list = append(list, d)
		go d.run()
	}
	for _, d := range list {
		if !d.awaitReady(15 * time.Second) {
			return list, fmt.Errorf("%s did not become ready", d.name)
		}
		rec.add("%s is ready, front %s", d.name, d.front)
	}
	return list, nil
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

func (d *daemon) run() {
	defer close(d.ended)
	log, err := os.Create(filepath.Join(d.dir, d.name+".log"))
	if err != nil {
		return
	}
	defer func() { _ = log.Close() }()
	for {
		d.mu.Lock()
		if d.stopped {
			d.mu.Unlock()
			return
		}
		cmd := exec.Command("target/cicadavalve", "daemon")
		cmd.Env = append(os.Environ(), "CICADAVALVE_SETTINGS="+d.settings)
		cmd.Stdout, cmd.Stderr = log, log
		err := cmd.Start()
		d.cmd = cmd
		d.mu.Unlock()
		if err != nil {
			d.rec.add("%s can't start: %v", d.name, err)
			return
		}
		err = cmd.Wait()
		d.rec.add("%s ended: %v", d.name, err)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		d.rec.add("%s gets signal %v", d.name, s)
		_ = d.cmd.Process.Signal(s)
	}
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-d.ended
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + d.ready + "/cicadavalve/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
