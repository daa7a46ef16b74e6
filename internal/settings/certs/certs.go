// Package certs keeps TLS certificates that are read from files and read again
// when the files change, so that certificates are renewed without a restart.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/fault"
)

// Files names the PEM files of one side.
type Files struct {
	// Certificate holds the chain, Key its private key.
	Certificate, Key string
	// Authorities holds the authorities that sign the other ends'
	// certificates; "" when the other ends show none.
	Authorities string
}

// Store holds the certificates in use. It is safe for concurrent use.
type Store struct {
	files Files

	mu        sync.Mutex
	current   material
	lastTried [3]fileStamp // of the files at the last load, whether it succeeded or not
}

// material is what one load of the files gave; it is immutable.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil without authorities
}

// fileStamp changes when a file is written.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Open reads the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again if one of them changed since the last try, and
// reports whether it put new certificates in use. After an error the ones
// before stay in use: files are often replaced one after the other, and a
// certificate that does not fit its key yet will do so at a later try.
func (s *Store) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps := s.fileStamps()
	if stamps == s.lastTried && s.current.certificate.Certificate != nil {
		return false, nil
	}
	s.lastTried = stamps
	loaded, err := loadFiles(s.files)
	if err != nil {
		return false, err
	}
	s.current = loaded
	return true, nil
}

func (s *Store) fileStamps() (stamps [3]fileStamp) {
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authorities} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func loadFiles(files Files) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, fault.Wrap(err, fault.BadSettings, "give a PEM certificate chain with its private key",
			"the certificate %s with the key %s can't be used", files.Certificate, files.Key)
	}
	if files.Authorities == "" {
		return material{certificate: certificate}, nil
	}
	text, err := os.ReadFile(files.Authorities)
	if err != nil {
		return material{}, fault.Wrap(err, fault.BadSettings, "give a readable PEM file", "the authorities can't be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, fault.New(fault.BadSettings, "give a PEM file with certificates of authorities",
			"%s holds no certificate", files.Authorities)
	}
	return material{certificate: certificate, authorities: pool}, nil
}

// Watch calls Reload at each interval until the context ends, and logs what
// came of it.
func (s *Store) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := s.Reload()
		if err != nil {
			klog.ErrorS(err, "the changed TLS files can't be used; the ones before stay in use", "certificate", s.files.Certificate)
		}
		if changed {
			klog.InfoS("TLS files were read again; new connections use them", "certificate", s.files.Certificate)
		}
	}
}

func (s *Store) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Server returns the configuration of a server. Each handshake uses the
// certificates that are in use then. With authorities, clients must show a
// certificate that one of them signed.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(), nil },
	}
}

func (s *Store) serverConfig() *tls.Config {
	m := s.material()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if m.authorities != nil {
		config.MinVersion = tls.VersionTLS13
		config.NextProtos = nil
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
	}
	return config
}

// Client returns the configuration for one dial: it shows this side's
// certificate and trusts the authorities only. An empty serverName leaves the
// name to the caller.
func (s *Store) Client(serverName string) *tls.Config {
	m := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   serverName,
	}
}
