package entry_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// proxy is what lies between two ends: it relays connections and may lose track
// of those that are open.
type proxy struct {
	to string

	mu      sync.Mutex
	open    []*net.TCPConn
	blocked bool
}

// proxySet makes a path to each address that it is asked for.
type proxySet struct {
	t   *testing.T
	all []*proxy
}

// newProxy returns the address of a new path to an address.
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

// dropSegments makes the paths lose track of all open connections.
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

// setBlocked ends all connections and lets none through, or lets them through again.
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

// dropSegments makes the kernel drop every segment that comes in on an open connection,
// so that neither end hears of the other again. New connections work.
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
		// A connection that has closed meanwhile is lost already.
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
