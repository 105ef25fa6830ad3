package testbed

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/entry"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// stopTimeout bounds how long Stop waits for a process to drain and exit.
const stopTimeout = 90 * time.Second

// InProcess is a Starter that runs an entry host inside this process.
func InProcess(ctx context.Context, s settings.Settings) (Process, error) {
	host, err := entry.New(s)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	p := &inProcess{host: host, stop: stop, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = host.Run(ctx)
	}()
	return p, nil
}

type inProcess struct {
	host  *entry.Host
	stop  context.CancelFunc
	ended chan struct{}
	err   error
}

func (p *inProcess) Stop() error {
	p.stop()
	<-p.ended
	return p.err
}

func (p *inProcess) Kill() {
	p.host.Abort()
	p.stop()
	<-p.ended
}

// Executable returns a Starter that runs each entry host as a separate process of
// the given binary, with its settings file and log in dir.
func Executable(binary, dir string) Starter {
	return func(_ context.Context, s settings.Settings) (Process, error) {
		path := filepath.Join(dir, s.Host.ID+".ini")
		if err := os.WriteFile(path, []byte(settings.Format(s)), 0o600); err != nil {
			return nil, eris.Wrap(err, "write settings file")
		}
		log, err := os.OpenFile(filepath.Join(dir, s.Host.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, eris.Wrap(err, "open log file")
		}
		command := exec.Command(binary, "serve", "--settings", path)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return nil, eris.Wrap(err, "start entry host process")
		}
		p := &childProcess{command: command, ended: make(chan struct{})}
		go func() {
			p.err = command.Wait()
			_ = log.Close()
			close(p.ended)
		}()
		return p, nil
	}
}

type childProcess struct {
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

func (p *childProcess) Stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "signal entry host process")
	}
	select {
	case <-p.ended:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return eris.Errorf("entry host process did not exit within %s; killed", stopTimeout)
	}
}

func (p *childProcess) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pid returns the process ID.
func (p *childProcess) Pid() int { return p.command.Process.Pid }

// Pause suspends the process until Resume.
func (p *childProcess) Pause() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *childProcess) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }
