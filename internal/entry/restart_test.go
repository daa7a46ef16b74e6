package entry_test

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/standin"
)

// upload is a long upload whose body the test writes.
type upload struct {
	body   *io.PipeWriter
	result chan error
}

const scanChunk = 128 << 10

// startUpload begins an upload directly through an entry and waits until an endpoint receives it.
func startUpload(t *testing.T, f *fleet, e *entry.Entry, id string) *upload {
	t.Helper()
	reader, writer := io.Pipe()
	u := &upload{body: writer, result: make(chan error, 1)}
	request, err := http.NewRequest(http.MethodPut, "http://"+e.CallerAddress()+"/scans?id="+id, reader)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(contract.HeaderService, "scans")
	request.Header.Set(contract.HeaderRequest, id)
	go func() { u.result <- sendUpload(request, id) }()
	u.write(t)
	await(t, "the upload reaches an endpoint", func() bool { return f.Ledger.Request(id).Runs > 0 })
	return u
}

func sendUpload(request *http.Request, id string) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return standin.CheckAnswer(body, id, standin.AnswerSize(id))
}

func (u *upload) write(t *testing.T) {
	t.Helper()
	if _, err := u.body.Write(make([]byte, scanChunk)); err != nil {
		t.Error(err)
	}
}

// finish sends the rest of the body and checks the answer.
func (u *upload) finish(t *testing.T) {
	t.Helper()
	u.write(t)
	_ = u.body.Close()
	if err := <-u.result; err != nil {
		t.Errorf("the upload was cut off: %v", err)
	}
}

const freshClients = 4

// awaitRefusal calls an entry, each time on a new connection, until the entry refuses connections.
// Each accepted connection must get an answer.
func awaitRefusal(t *testing.T, e *entry.Entry) {
	t.Helper()
	var calling sync.WaitGroup
	for range freshClients {
		calling.Go(func() {
			fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				response, err := fresh.Get("http://" + e.CallerAddress() + contract.HealthPath)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err != nil {
					t.Errorf("a new connection was cut off: %v", err)
					return
				}
				response.Body.Close()
			}
		})
	}
	calling.Wait()
}

// Operators replace every entry, one after the other, under load. Callers have directory answers
// that name the stopping entry, connections to it, bookings in flight at it, and a long upload that
// ends only after the entry refuses new connections. No caller may notice the replacement.
func TestRollingRestartOfEveryEntry(t *testing.T) {
	t.Parallel() // waits most of the time
	f := newFleet(t, 6)
	l := startBoundedTraffic(t, f)
	for i, e := range slices.Clone(f.Entries) {
		l.awaitReplies(t, 50)
		scan := startUpload(t, f, e, "scan-"+e.Name())
		stopped := make(chan entry.StopSummary)
		go func() { stopped <- f.stop(t, e) }()
		awaitRefusal(t, e)
		l.awaitReplies(t, 50)
		scan.finish(t)
		t.Logf("%s: %+v", e.Name(), <-stopped)
		f.replace(t, e.Name(), i)
	}
	l.finishWithoutLoss(t, f)
}

// A failure domain is emptied for maintenance while the configuration service is down: an endpoint
// drains, and all entries of the domain stop at the same time and hand over their keys to entries
// elsewhere. New entries, which can only ask peers, take their place. No caller may notice this.
func TestFailureDomainReplacedWhileServiceIsDown(t *testing.T) {
	t.Parallel() // waits most of the time
	f := newFleet(t, 9)
	l := startBoundedTraffic(t, f)
	l.awaitReplies(t, 100)
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	f.Endpoints[0].Drain()
	var leaving []*entry.Entry
	for i, e := range slices.Clone(f.Entries) {
		if i%3 == 0 {
			leaving = append(leaving, e)
		}
	}
	stopped := make(chan entry.StopSummary)
	for _, e := range leaving {
		go func() { stopped <- f.stop(t, e) }()
	}
	for range leaving {
		t.Logf("%+v", <-stopped)
	}
	l.awaitReplies(t, 100)
	for i, e := range leaving {
		f.replace(t, e.Name(), 3*i)
	}
	l.awaitReplies(t, 100)
	l.finishWithoutLoss(t, f)
}
