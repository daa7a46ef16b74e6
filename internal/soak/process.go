package soak

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a running program.
type process struct {
	command *exec.Cmd
	log     *os.File
	done    chan struct{} // closed when it has ended
	code    int           // its exit code, after done

	mu sync.Mutex
	// told is set once it was told to end.
	told bool
}

// startProcess starts a program of cfg.Programs whose standard error goes to a log that is named after
// it. What it prints goes to out.
func startProcess(cfg Config, name string, out io.Writer, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(cfg.Logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.Command(filepath.Join(cfg.Programs, program), args...), log: log, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, log
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	go func() {
		var exit *exec.ExitError
		if err := p.command.Wait(); errors.As(err, &exit) {
			p.code = exit.ExitCode()
		}
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// end sends a signal that ends the process and waits until it has ended, killing it after limit. It
// reports whether the process ended in time.
func (p *process) end(s syscall.Signal, limit time.Duration) (inTime bool) {
	p.mu.Lock()
	p.told = true
	p.mu.Unlock()
	p.signal(s)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		p.signal(syscall.SIGKILL)
		<-p.done
		return false
	}
}

// wasTold reports whether the process was told to end.
func (p *process) wasTold() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told
}
