package standin

import (
	"net/netip"
	"os"
	"syscall"
)

// reservePort binds a socket that never listens to address, and returns the socket and the address
// with its port. A killed server must refuse connections and restart on the same port; without the
// reservation, the kernel may give the port to any connection on the machine in the meantime, and
// the restart fails. The server's own listener can still bind, because both sockets set
// SO_REUSEADDR and this one does not listen. A second server on the port is still refused, because
// the socket of the first server listens.
func reservePort(address string) (*os.File, string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, "", err
	}
	family := syscall.AF_INET6
	if parsed.Addr().Is4() {
		family = syscall.AF_INET
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", os.NewSyscallError("socket", err)
	}
	socket := os.NewFile(uintptr(fd), "reserved port") // its finalizer closes fd on the error paths
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, "", os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, sockaddr(parsed)); err != nil {
		return nil, "", os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, "", os.NewSyscallError("getsockname", err)
	}
	return socket, netip.AddrPortFrom(parsed.Addr(), portOf(bound)).String(), nil
}

func sockaddr(address netip.AddrPort) syscall.Sockaddr {
	if address.Addr().Is4() {
		return &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return &syscall.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

func portOf(address syscall.Sockaddr) uint16 {
	switch bound := address.(type) {
	case *syscall.SockaddrInet4:
		return uint16(bound.Port)
	case *syscall.SockaddrInet6:
		return uint16(bound.Port)
	}
	return 0
}
