package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/fault"
)

// maxResponseBytes bounds a page of the admin interface.
const maxResponseBytes = 64 << 20

// get reads a page into value.
func (o *options) get(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	response, err := o.open(ctx, path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value)
	return fault.Wrap(err, fault.Unavailable, "use the tealhallctl of the entry's release", "the answer of %s can't be read", o.admin)
}

// open asks for a page and returns the answer, whose body the caller closes.
func (o *options) open(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url(path), nil)
	if err != nil {
		return nil, usageErrorf("--admin is %q; give IP:port or https://HOST:port", o.admin)
	}
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check --admin, and that the entry runs", "the entry does not answer")
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, responseError(response)
	}
	return response, nil
}

func (o *options) url(path string) string {
	address := strings.TrimSuffix(o.admin, "/")
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return address + path
}

func (o *options) client() (*http.Client, error) {
	if o.authorities == "" {
		return http.DefaultClient, nil
	}
	text, err := os.ReadFile(o.authorities)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "give a readable PEM file to --authorities", "the authorities can't be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.Unavailable, "give a PEM file with certificates to --authorities", "%s holds no certificate", o.authorities)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// responseError returns the error that an answer other than 200 stands for.
func responseError(response *http.Response) error {
	var f admin.Failure
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&f)
	if err != nil || f.Error == "" {
		return fault.New(fault.Unavailable, "check that --admin is the admin address of an entry", "the answer is %s", response.Status)
	}
	return fault.New(fault.Unavailable, strings.ReplaceAll(printable(f.Remedy), "%", "%%"), "%s", printable(f.Error))
}
