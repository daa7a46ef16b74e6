package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/standin"
	"github.com/tealhall/tealhall/internal/wait"
)

// injector carries out faults. A fault whose target is still occupied by another one is left out.
type injector struct {
	fleet    *fleet
	platform sync.Mutex // held while a fault of the platform is under way

	mu                sync.Mutex
	injected, skipped map[Kind]int
	failure           error
}

// run carries out the faults and returns when the last has ended.
func (j *injector) run(ctx context.Context, faults []Fault) error {
	began := time.Now()
	var all sync.WaitGroup
	for _, fault := range faults {
		wait.For(ctx, time.Until(began.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		all.Go(func() { j.inject(ctx, fault) })
	}
	all.Wait()
	return j.failure
}

func (j *injector) inject(ctx context.Context, f Fault) {
	busy, fault := j.fault(f)
	if !busy.TryLock() {
		j.count(j.skipped, f.Kind)
		return
	}
	defer busy.Unlock()
	j.count(j.injected, f.Kind)
	if err := fault(ctx, f.Lasts); err != nil {
		j.mu.Lock()
		j.failure = err
		j.mu.Unlock()
	}
}

func (j *injector) count(counts map[Kind]int, k Kind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts[k]++
}

// fault returns what carries out a fault, and the lock of its target.
func (j *injector) fault(f Fault) (busy *sync.Mutex, run func(ctx context.Context, lasts time.Duration) error) {
	entry := j.fleet.entries[f.Target%len(j.fleet.entries)]
	endpoint := j.fleet.endpoints[f.Target%len(j.fleet.endpoints)]
	path := func(s pathState) (*sync.Mutex, func(context.Context, time.Duration) error) {
		return &endpoint.pathBusy, func(ctx context.Context, lasts time.Duration) error {
			endpoint.path.set(s)
			wait.For(ctx, lasts)
			endpoint.path.set(pathOpen)
			return nil
		}
	}
	platform := func(faults standin.PlatformFaults) (*sync.Mutex, func(context.Context, time.Duration) error) {
		return &j.platform, func(ctx context.Context, lasts time.Duration) error {
			j.fleet.disturbPlatform(ctx, faults, lasts)
			return nil
		}
	}
	switch f.Kind {
	case EntryPaused:
		return &entry.busy, func(ctx context.Context, lasts time.Duration) error {
			j.fleet.pauseEntry(ctx, entry, lasts)
			return nil
		}
	case EntryKilled:
		return &entry.busy, func(ctx context.Context, lasts time.Duration) error { return j.fleet.killEntry(ctx, entry, lasts) }
	case EntryStopped:
		return &entry.busy, func(ctx context.Context, lasts time.Duration) error { return j.fleet.stopEntry(ctx, entry, lasts) }
	case EndpointPaused:
		return &endpoint.busy, func(ctx context.Context, lasts time.Duration) error {
			pause(ctx, endpoint.running(), lasts)
			return nil
		}
	case EndpointKilled:
		return &endpoint.busy, func(ctx context.Context, lasts time.Duration) error {
			return j.fleet.killEndpoint(ctx, endpoint, lasts)
		}
	case EndpointLeaves:
		return &endpoint.busy, func(ctx context.Context, lasts time.Duration) error {
			return j.fleet.replaceEndpoint(ctx, endpoint, lasts)
		}
	case PathSilent:
		return path(pathSilent)
	case PathReset:
		return path(pathReset)
	case PathSlow:
		return path(pathSlow)
	case PlatformDown:
		return platform(standin.PlatformFaults{Down: true})
	case PlatformStale:
		return platform(standin.PlatformFaults{Stale: true})
	case PlatformSlow:
		return platform(standin.PlatformFaults{Delay: time.Second})
	case PlatformCut:
		return platform(standin.PlatformFaults{Cut: standin.CutSized})
	default:
		return new(sync.Mutex), func(context.Context, time.Duration) error {
			j.fleet.publishProfiles()
			return nil
		}
	}
}

// pause stops a process for a while.
func pause(ctx context.Context, p *process, lasts time.Duration) {
	p.signal(syscall.SIGSTOP)
	wait.For(ctx, lasts)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) pauseEntry(ctx context.Context, e *entryVM, lasts time.Duration) {
	f.checks.EntryDisturbed(e.name)
	pause(ctx, e.running(), lasts)
	f.checks.EntryDisturbed(e.name)
}

func (f *fleet) killEntry(ctx context.Context, e *entryVM, lasts time.Duration) error {
	e.running().end(syscall.SIGKILL, killLimit)
	wait.For(ctx, lasts)
	return f.startEntry(e)
}

func (f *fleet) stopEntry(ctx context.Context, e *entryVM, lasts time.Duration) error {
	p := e.running()
	inTime := p.end(syscall.SIGTERM, stopLimit)
	f.checks.Stopped(e.name, p.code, inTime)
	wait.For(ctx, lasts)
	return f.startEntry(e)
}

func (f *fleet) killEndpoint(ctx context.Context, e *endpointVM, lasts time.Duration) error {
	e.running().end(syscall.SIGKILL, killLimit)
	wait.For(ctx, lasts)
	err := f.startEndpoint(e)
	f.publishVMs()
	return err
}

// replaceEndpoint lets an endpoint leave and starts it again under its name.
func (f *fleet) replaceEndpoint(ctx context.Context, e *endpointVM, lasts time.Duration) error {
	name := e.incarnationName()
	e.setState(published.Leaving)
	f.publishVMs()
	f.checks.Leaving(name)
	e.running().end(syscall.SIGTERM, stopLimit)
	f.checks.Left(name)
	e.setState("")
	f.publishVMs()
	wait.For(ctx, lasts)
	err := f.startEndpoint(e)
	f.publishVMs()
	return err
}

func (f *fleet) disturbPlatform(ctx context.Context, faults standin.PlatformFaults, lasts time.Duration) {
	f.checks.PlatformDisturbed()
	f.platform.SetFaults(faults)
	// Changes that are due meanwhile are excused too.
	for left := lasts; left > 0 && ctx.Err() == nil; left -= pollEvery {
		wait.For(ctx, min(left, pollEvery))
		f.checks.PlatformDisturbed()
	}
	f.platform.SetFaults(standin.PlatformFaults{})
	f.checks.PlatformDisturbed()
}
