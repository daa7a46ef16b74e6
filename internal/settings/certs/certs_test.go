package certs

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/settings/certs/certstest"
)

// newFiles writes a certificate signed by authority, its key and the trusted authority to new
// files.
func newFiles(t *testing.T, authority *certstest.Authority, trusted *certstest.Authority) Files {
	t.Helper()
	dir := t.TempDir()
	files := Files{Certificate: filepath.Join(dir, "a.pem"), Key: filepath.Join(dir, "a.key"), Authorities: filepath.Join(dir, "ca.pem")}
	writeFiles(t, files, authority, trusted)
	return files
}

func writeFiles(t *testing.T, files Files, authority, trusted *certstest.Authority) {
	t.Helper()
	certificate, key := authority.Issue(t, "peer", "127.0.0.1")
	for name, text := range map[string][]byte{files.Certificate: certificate, files.Key: key, files.Authorities: trusted.PEM} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func openStore(t *testing.T, files Files) *Store {
	t.Helper()
	s, err := Open(files)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects over loopback and returns the errors of both ends.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	answered := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = tls.Server(conn, server).Write([]byte{1})
			conn.Close()
		}
		answered <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, clientErr = tls.Client(conn, client).Read(make([]byte, 1))
	conn.Close()
	return clientErr, <-answered
}

func TestHandshakeNeedsTrustedCertificates(t *testing.T) {
	ours, foreign := certstest.NewAuthority(t), certstest.NewAuthority(t)
	server := openStore(t, newFiles(t, ours, ours))
	cases := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"by IP address", openStore(t, newFiles(t, ours, ours)).Client("127.0.0.1"), true},
		{"by DNS name", openStore(t, newFiles(t, ours, ours)).Client("peer"), true},
		{"another IP address", openStore(t, newFiles(t, ours, ours)).Client("127.0.0.2"), false},
		{"client of a foreign authority", openStore(t, newFiles(t, foreign, ours)).Client("peer"), false},
		{"server of a foreign authority", openStore(t, newFiles(t, ours, foreign)).Client("peer"), false},
		{"client without certificate", &tls.Config{ServerName: "peer", RootCAs: server.material().authorities}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clientErr, serverErr := handshake(t, tc.client, server.Server())
			if ok := clientErr == nil && serverErr == nil; ok != tc.ok {
				t.Errorf("client: %v, server: %v", clientErr, serverErr)
			}
		})
	}
}

// Operators renew certificates by writing three files one after the other while the daemon checks
// them for changes. The daemon must keep serving in between, and use the new certificates once all
// files are written.
func TestReloadWhileFilesAreReplacedOneByOne(t *testing.T) {
	before, after := certstest.NewAuthority(t), certstest.NewAuthority(t)
	files := newFiles(t, before, before)
	server := openStore(t, files)
	trustsNew := openStore(t, newFiles(t, after, after)).Client("peer")
	trustsOld := openStore(t, newFiles(t, before, before)).Client("peer")
	step := 0
	reload := func(text []byte, name string) (bool, error) {
		step++
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
		at := time.Unix(int64(step), 0) // distinct even on file systems with coarse timestamps
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
		return server.Reload()
	}
	if changed, err := server.Reload(); changed || err != nil {
		t.Fatalf("Reload without a change: %v, %v", changed, err)
	}
	certificate, key := after.Issue(t, "peer", "127.0.0.1")
	if changed, err := reload(certificate, files.Certificate); changed || fault.KindOf(err) != fault.BadSettings {
		t.Errorf("certificate without its key: %v, %v", changed, err)
	}
	if changed, err := server.Reload(); changed || err != nil {
		t.Errorf("Reload without a change after an error: %v, %v", changed, err)
	}
	if _, err := handshake(t, trustsOld, server.Server()); err != nil {
		t.Errorf("the old certificate is no longer in use: %v", err)
	}
	if changed, err := reload(key, files.Key); !changed || err != nil {
		t.Errorf("certificate and key: %v, %v", changed, err)
	}
	if changed, err := reload([]byte("none"), files.Authorities); changed || fault.KindOf(err) != fault.BadSettings {
		t.Errorf("authorities file without a certificate: %v, %v", changed, err)
	}
	if changed, err := reload(after.PEM, files.Authorities); !changed || err != nil {
		t.Errorf("all three files: %v, %v", changed, err)
	}
	if clientErr, serverErr := handshake(t, trustsNew, server.Server()); clientErr != nil || serverErr != nil {
		t.Errorf("the new certificate is not in use: %v, %v", clientErr, serverErr)
	}
}

func TestOpenFailsOnMissingFiles(t *testing.T) {
	if _, err := Open(Files{Certificate: "absent.pem", Key: "absent.key"}); fault.KindOf(err) != fault.BadSettings {
		t.Errorf("Open with missing files: error %v", err)
	}
}
