//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is an entry host of the project, started as a process of its own with the command
// and the settings template of the deploy file.
type host struct {
	name, front, ready string
	command            []string
	log                *os.File
	record             *record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

var zones = []string{"dakar-plateau", "dakar-almadies", "dakar-yoff"}

// Fields of the settings of a small deployment (asam-proofs).
const (
	memoryMB = 364
	graceS   = 8
)

// nextPort is the port that is tried next. Ports of this range are below those that the
// kernel gives to connections, which could take a port between this check and its use.
var nextPort = 12000 + rand.IntN(16000)

func freeAddr() (string, error) {
	for range 1000 {
		nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if listener, err := net.Listen("tcp", addr); err == nil {
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// newHost writes the settings of a host. The working directory is the root of the
// repository.
func (w *world) newHost(n int, zone string) (*host, error) {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), record: w.record}
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	h.front, h.ready = addrs[0], addrs[1]
	template, err := os.ReadFile("deploy/host.ini.tmpl")
	if err != nil {
		return nil, err
	}
	fields := map[string]string{
		"node": h.name, "zone": zone, "listen.front": addrs[0], "listen.ready": addrs[1],
		"{{ip}}:{{port_range.0}}": addrs[2], "{{ip}}:{{port_range.1}}": addrs[3],
		"provider.addr": w.addr, "provider.parts": fmt.Sprint(storePartitions), "provider.record_bytes": "262144",
		"provider.call_bytes": "2097152", "provider.ttl_min_ms": "1000", "limits.cpu_share": "0.8", "limits.cores": "1",
		"limits.memory_mb": fmt.Sprint(memoryMB), "bounds.lease_ms": "3000", "bounds.grace_s": fmt.Sprint(graceS), "bounds.status_s": "120",
	}
	text := string(template)
	for _, pair := range []string{"{{ip}}:{{port_range.0}}", "{{ip}}:{{port_range.1}}"} {
		text = strings.ReplaceAll(text, pair, fields[pair])
	}
	text = regexp.MustCompile(`\{\{[#/][^}]*\}\}`).ReplaceAllString(text, "")
	missing := ""
	text = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(p string) string {
		value, ok := fields[strings.Trim(p, "{}")]
		if !ok {
			missing = p
		}
		return value
	})
	if missing != "" {
		return nil, fmt.Errorf("no value for %s of the settings template", missing)
	}
	settings := filepath.Join(w.dir, h.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.command, err = deployCommand(settings); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(w.dir, h.name+".log"))
	return h, err
}

// deployCommand returns the command of the deploy file, with the path of the settings.
func deployCommand(settings string) ([]string, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("the deploy file has no command")
	}
	command := strings.Fields(string(match[1]))
	for i, word := range command {
		if word == "/etc/sesamestand/boot.toml" {
			command[i] = settings
		}
	}
	return command, nil
}

// starts hands processes to a goroutine that keeps its thread: the kernel ends a process
// when the thread that started it ends, so that none is left behind if this program dies.
var starts = func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

func (h *host) start() error {
	process := exec.Command(h.command[0], h.command[1:]...)
	process.Stdout, process.Stderr = h.log, h.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- process.Start() }
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = process, ended
	h.mu.Unlock()
	h.record.add("host %s started", h.name)
	go func() {
		err := process.Wait()
		h.record.add("host %s ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.add("host %s gets signal %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

// awaitEnd waits until the process has ended, and kills it after a time.
func (h *host) awaitEnd(limit time.Duration) {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-ended
	}
}
