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
	"github.com/tealhall/tealhall/internal/headcheck"
)

// maxResponseBytes is the largest response of the admin interface that is read.
const maxResponseBytes = 64 << 20

// get requests a path of the admin interface and decodes the JSON response into value.
func (o *options) get(ctx context.Context, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	response, err := o.open(ctx, path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value)
	return fault.Wrap(err, fault.Unavailable, "use the tealhallctl of the entry's release", "cannot parse the response of %s", o.admin)
}

// open requests a path of the admin interface and returns the response. The caller closes its body.
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
		return &http.Client{Transport: headcheck.Transport(nil)}, nil
	}
	text, err := os.ReadFile(o.authorities)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "give a readable PEM file to --authorities", "cannot read the authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.Unavailable, "give a PEM file with certificates to --authorities", "%s contains no certificate", o.authorities)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Transport: headcheck.Transport(transport)}, nil
}

// responseError returns the error that a response with a status other than 200 reports.
func responseError(response *http.Response) error {
	var f admin.ErrorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&f)
	if err != nil || f.Error == "" {
		return fault.New(fault.Unavailable, "check that --admin is the admin address of an entry", "unexpected response: %s", response.Status)
	}
	return fault.New(fault.Unavailable, strings.ReplaceAll(printable(f.Remedy), "%", "%%"), "%s", printable(f.Error))
}
