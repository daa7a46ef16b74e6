// Package certs loads TLS certificates from files and reloads them when the files change, so that
// certificates can be renewed without a restart.
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

// Files names the PEM files of one end of a connection.
type Files struct {
	// Certificate is the file with the certificate chain, Key the file with its private key.
	Certificate, Key string
	// Authorities is the file with the authorities that sign the certificates of the other end; ""
	// if the other end presents none.
	Authorities string
}

// Store holds the certificates in use. It is safe for concurrent use.
type Store struct {
	files Files

	mu        sync.Mutex
	current   material
	lastTried [3]fileStamp // file stamps at the last load, successful or not
}

// material is the result of one load of the files. It is immutable.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil if Files.Authorities is empty
}

// fileStamp identifies a version of a file by its modification time and size.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Open loads the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload loads the files again if one of them has changed since the last attempt, and reports
// whether new certificates are in use. After an error the previous certificates stay in use: files
// are often replaced one after the other, and a certificate whose key has not been replaced yet
// loads on a later attempt.
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
			"cannot load the certificate %s with the key %s", files.Certificate, files.Key)
	}
	if files.Authorities == "" {
		return material{certificate: certificate}, nil
	}
	text, err := os.ReadFile(files.Authorities)
	if err != nil {
		return material{}, fault.Wrap(err, fault.BadSettings, "give a readable PEM file", "cannot read the authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, fault.New(fault.BadSettings, "give a PEM file with certificates of authorities",
			"%s contains no certificate", files.Authorities)
	}
	return material{certificate: certificate, authorities: pool}, nil
}

// Watch calls Reload at each interval until the context is canceled, and logs the results.
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
			klog.ErrorS(err, "cannot load the changed TLS files; the previous certificates stay in use", "certificate", s.files.Certificate)
		}
		if changed {
			klog.InfoS("reloaded the TLS files; new connections use them", "certificate", s.files.Certificate)
		}
	}
}

func (s *Store) material() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Server returns a server configuration. Each handshake uses the certificates in use at that time.
// If the store has authorities, clients must present a certificate signed by one of them.
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

// Client returns a client configuration for one connection. It presents the store's certificate and
// trusts only the store's authorities. If serverName is empty, ServerName must be set before the
// handshake.
func (s *Store) Client(serverName string) *tls.Config {
	m := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   serverName,
	}
}
