//go:build !linux

package standin

import "os"

// reservePort reserves nothing on this platform: a restart after Kill may find the port in use.
func reservePort(address string) (*os.File, string, error) {
	return nil, address, nil
}
