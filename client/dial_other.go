//go:build !linux

package client

import "syscall"

// setUserTimeout does nothing: only the deadlines of the requests end silent connections.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
