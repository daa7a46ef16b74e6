// Package certstest issues certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"
)

// Authority is a certificate authority.
type Authority struct {
	// PEM is the authority's own certificate.
	PEM []byte

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	template := newTemplate("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a := &Authority{key: newKey(t)}
	a.certificate, a.PEM = sign(t, template, template, a.key, a.key)
	return a
}

// Issue returns a new certificate and its key in PEM, valid for the given DNS name and IP address,
// for both client and server use.
func (a *Authority) Issue(t testing.TB, name, ip string) (certificate, key []byte) {
	t.Helper()
	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	private := newKey(t)
	_, certificate = sign(t, template, a.certificate, private, a.key)
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		// Tests may run on a simulated clock that starts in the year 2000.
		NotBefore: time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:  time.Date(2199, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func sign(t testing.TB, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, []byte) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
