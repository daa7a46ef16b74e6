package entry_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// proxy relays TCP connections to an address. It can block connections, and can make open ones go
// silent.
type proxy struct {
	to string

	mu      sync.Mutex
	open    []*net.TCPConn
	blocked bool
}

// proxySet creates proxies and applies faults to all of them.
type proxySet struct {
	t   *testing.T
	all []*proxy
}

// newProxy starts a proxy to an address and returns the proxy's own address.
func (p *proxySet) newProxy(to string) string {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		p.t.Fatal(err)
	}
	added := &proxy{to: to}
	p.all = append(p.all, added)
	p.t.Cleanup(func() {
		_ = l.Close()
		added.close()
	})
	go added.accept(l)
	return l.Addr().String()
}

// dropSegments silences the open connections of all proxies.
func (p *proxySet) dropSegments() {
	for _, one := range p.all {
		one.dropSegments(p.t)
	}
}

func (p *proxy) accept(l *net.TCPListener) {
	for {
		near, err := l.AcceptTCP()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil || !p.relay(near, far.(*net.TCPConn)) {
			_ = near.Close()
		}
	}
}

func (p *proxy) relay(near, far *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		return false
	}
	p.open = append(p.open, near, far)
	copyAll := func(to, from *net.TCPConn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}
	go copyAll(near, far)
	go copyAll(far, near)
	return true
}

// setBlocked closes all connections and refuses new ones, or allows connections again.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for _, conn := range p.open {
		_ = conn.Close()
	}
	p.open = nil
}

// dropSegments makes the kernel drop every segment that arrives on the open connections, so that
// neither end receives anything from the other again. New connections work.
func (p *proxy) dropSegments(t *testing.T) {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.open {
		raw, err := conn.SyscallConn()
		if err != nil {
			t.Error(err)
			continue
		}
		// A connection that was closed meanwhile fails with EBADF and needs no filter.
		_ = raw.Control(func(fd uintptr) {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		})
		if err != nil && err != syscall.EBADF {
			t.Error(err)
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.open {
		_ = conn.Close()
	}
}
