package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sharedFlow lets an answer hold up to share bytes.
type sharedFlow struct {
	mu                sync.Mutex
	share, held, most int64
}

func (f *sharedFlow) Turn(context.Context) error { return nil }
func (f *sharedFlow) Wrote(int64)                {}

func (f *sharedFlow) Hold(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held+n > f.share {
		return false
	}
	f.held += n
	f.most = max(f.most, f.held)
	return true
}

func (f *sharedFlow) Release(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held -= n
}

func (f *sharedFlow) setShare(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = n
}

// slowCaller pauses once and then takes an answer at a steady pace, in steps as the receive window of
// its kernel opens.
type slowCaller struct {
	header  http.Header
	pause   time.Duration
	resumed func()
	pace    int64 // bytes a second
	step    int64
	window  int64
	taken   int64
}

func (c *slowCaller) Header() http.Header { return c.header }
func (c *slowCaller) WriteHeader(int)     {}
func (c *slowCaller) FlushError() error   { return nil }

func (c *slowCaller) Write(p []byte) (int, error) {
	if c.pause > 0 {
		time.Sleep(c.pause)
		c.pause = 0
		c.resumed()
	}
	for left := int64(len(p)); left > 0; {
		if c.window == 0 {
			time.Sleep(time.Duration(c.step) * time.Second / time.Duration(c.pace))
			c.window = c.step
		}
		n := min(left, c.window)
		c.window -= n
		c.taken += n
		left -= n
	}
	return len(p), nil
}

// promptBody has all of its bytes ready and records the longest time between two reads.
type promptBody struct {
	io.Reader
	mu      sync.Mutex
	latest  time.Time
	longest time.Duration
	read    int64
}

func (b *promptBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.latest.IsZero() {
		b.longest = max(b.longest, time.Since(b.latest))
	}
	b.latest = time.Now()
	b.read += int64(n)
	return n, err
}

// restart begins the record anew.
func (b *promptBody) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest, b.longest = time.Now(), 0
}

func (b *promptBody) Close() error { return nil }

// Guards against an answer that its endpoint gives up as unread: its caller paused once, and the entry
// then reads nothing until the caller has taken all that was held meanwhile.
func TestLargeAnswerIsReadOnAfterPauseOfCaller(t *testing.T) {
	const size, share = 2 << 20, 512 << 10
	for _, pace := range []int64{50_000, 100_000, 170_000, 400_000} {
		t.Run(fmt.Sprint(pace, " bytes a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				flow := &sharedFlow{share: share}
				body := &promptBody{Reader: bytes.NewReader(make([]byte, size))}
				caller := &slowCaller{header: http.Header{}, pause: time.Second, resumed: body.restart, pace: pace, step: 16 << 10}
				response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: size}
				if n, err := CopyLargeAnswer(t.Context(), caller, response, flow); err != nil || n != size || caller.taken != size {
					t.Errorf("the caller got %d of %d bytes, %v", caller.taken, n, err)
				}
				if body.longest > unreadAfter {
					t.Errorf("the answer was not read for %v", body.longest)
				}
				if flow.held != 0 || flow.most == 0 || flow.most > share {
					t.Errorf("held %d bytes at most, %d afterwards", flow.most, flow.held)
				}
			})
		})
	}
}

// Guards against an answer that never gives back what it held before its share fell.
func TestLargeAnswerShrinksToItsShare(t *testing.T) {
	const size, largeShare, smallShare = 4 << 20, 512 << 10, 64 << 10
	synctest.Test(t, func(t *testing.T) {
		flow := &sharedFlow{share: largeShare}
		body := &promptBody{Reader: bytes.NewReader(make([]byte, size))}
		caller := &slowCaller{header: http.Header{}, pace: 150_000, step: 32 << 10}
		response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: size}
		var done sync.WaitGroup
		done.Go(func() { _, _ = CopyLargeAnswer(t.Context(), caller, response, flow) })
		time.Sleep(5 * time.Second)
		flow.setShare(smallShare)
		time.Sleep(15 * time.Second)
		flow.mu.Lock()
		if flow.held > smallShare {
			t.Errorf("holds %d bytes, its share is %d", flow.held, smallShare)
		}
		flow.mu.Unlock()
		body.mu.Lock()
		if body.read == size {
			t.Error("the endpoint has sent all of the answer before the check")
		}
		body.mu.Unlock()
		done.Wait()
	})
}
