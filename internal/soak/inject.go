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

// action carries out a fault that lasts for a while.
type action func(ctx context.Context, lasts time.Duration) error

func (j *injector) inject(ctx context.Context, f Fault) {
	target, act := j.actionOf(f)
	if !target.TryLock() {
		j.count(j.skipped, f.Kind)
		return
	}
	defer target.Unlock()
	j.count(j.injected, f.Kind)
	if err := act(ctx, f.Lasts); err != nil {
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

// actionOf returns the action of a fault, and the lock of its target.
func (j *injector) actionOf(f Fault) (target *sync.Mutex, act action) {
	entry := j.fleet.entries[f.Target%len(j.fleet.entries)]
	endpoint := j.fleet.endpoints[f.Target%len(j.fleet.endpoints)]
	switch f.Kind {
	case EntryPaused:
		return &entry.busy, j.fleet.pauseEntry(entry)
	case EntryKilled:
		return &entry.busy, j.fleet.killEntry(entry)
	case EntryStopped:
		return &entry.busy, j.fleet.stopEntry(entry)
	case EndpointPaused:
		return &endpoint.busy, j.fleet.pauseEndpoint(endpoint)
	case EndpointKilled:
		return &endpoint.busy, j.fleet.killEndpoint(endpoint)
	case EndpointLeaves:
		return &endpoint.busy, j.fleet.replaceEndpoint(endpoint)
	case PathSilent:
		return &endpoint.pathBusy, disturbPath(endpoint, pathSilent)
	case PathReset:
		return &endpoint.pathBusy, disturbPath(endpoint, pathReset)
	case PathSlow:
		return &endpoint.pathBusy, disturbPath(endpoint, pathSlow)
	case PlatformDown:
		return &j.platform, j.fleet.disturbPlatform(standin.PlatformFaults{Down: true})
	case PlatformStale:
		return &j.platform, j.fleet.disturbPlatform(standin.PlatformFaults{Stale: true})
	case PlatformSlow:
		return &j.platform, j.fleet.disturbPlatform(standin.PlatformFaults{Delay: platformDelay})
	case PlatformCut:
		return &j.platform, j.fleet.disturbPlatform(standin.PlatformFaults{Cut: standin.CutSized})
	default:
		return new(sync.Mutex), j.fleet.publishAgain
	}
}

// platformDelay is by how much a slow platform delays its answers.
const platformDelay = time.Second

func (f *fleet) pauseEntry(e *entryVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
		f.checks.EntryDisturbed(e.name)
		pause(ctx, e.running(), lasts)
		f.checks.EntryDisturbed(e.name)
		return nil
	}
}

func (f *fleet) killEntry(e *entryVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
		e.running().end(syscall.SIGKILL, killLimit)
		wait.For(ctx, lasts)
		return f.startEntry(e)
	}
}

func (f *fleet) stopEntry(e *entryVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
		p := e.running()
		inTime := p.end(syscall.SIGTERM, stopLimit)
		f.checks.Stopped(e.name, p.code, inTime)
		wait.For(ctx, lasts)
		return f.startEntry(e)
	}
}

func (f *fleet) pauseEndpoint(e *endpointVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
		pause(ctx, e.running(), lasts)
		return nil
	}
}

func (f *fleet) killEndpoint(e *endpointVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
		e.running().end(syscall.SIGKILL, killLimit)
		wait.For(ctx, lasts)
		err := f.startEndpoint(e)
		f.publishVMs()
		return err
	}
}

// replaceEndpoint lets an endpoint leave and starts it again under its name.
func (f *fleet) replaceEndpoint(e *endpointVM) action {
	return func(ctx context.Context, lasts time.Duration) error {
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
}

func disturbPath(e *endpointVM, s pathState) action {
	return func(ctx context.Context, lasts time.Duration) error {
		e.path.set(s)
		wait.For(ctx, lasts)
		e.path.set(pathOpen)
		return nil
	}
}

func (f *fleet) disturbPlatform(faults standin.PlatformFaults) action {
	return func(ctx context.Context, lasts time.Duration) error {
		f.platform.SetFaults(faults)
		// Changes that fall due meanwhile are excused too.
		for left := lasts; left > 0 && ctx.Err() == nil; left -= pollEvery {
			f.checks.PlatformDisturbed()
			wait.For(ctx, min(left, pollEvery))
		}
		f.platform.SetFaults(standin.PlatformFaults{})
		f.checks.PlatformDisturbed()
		return nil
	}
}

func (f *fleet) publishAgain(context.Context, time.Duration) error {
	f.publishProfiles()
	return nil
}

// pause stops a process for a while.
func pause(ctx context.Context, p *process, lasts time.Duration) {
	p.signal(syscall.SIGSTOP)
	wait.For(ctx, lasts)
	p.signal(syscall.SIGCONT)
}
