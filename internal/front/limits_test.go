package front

import (
	"net"
	"testing"
	"time"
)

// deadlines remembers the read deadlines that are set on a connection.
type deadlines struct {
	net.Conn
	set time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error { d.set = t; return nil }

// Guards against a kept connection that is closed while its caller may still use it by the
// configuration in force, and against one that is kept for as long as somebody likes.
func TestIdleDeadlineFollowsAllowedLimits(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		allowed time.Duration
		later   time.Duration
	}{
		"less than the settings": {5 * time.Second, 0},
		"more":                   {50 * time.Second, 30 * time.Second},
		"beyond every bound":     {time.Hour, maxAllowed.Idle - 20*time.Second},
	} {
		cfg := ServerConfig{Limits: Limits{Idle: 20 * time.Second}, Allowed: func() Limits { return Limits{Idle: c.allowed} }}.withDefaults()
		conn := &deadlines{}
		g := &guardedConn{Conn: conn, cfg: &cfg}
		if g.SetReadDeadline(at); !conn.set.Equal(at) {
			t.Errorf("%s: while a request is worked on the deadline is %v later", name, conn.set.Sub(at))
		}
		g.idle.Store(true)
		if g.SetReadDeadline(at); conn.set.Sub(at) != c.later {
			t.Errorf("%s: the deadline is %v later, want %v", name, conn.set.Sub(at), c.later)
		}
		if g.SetReadDeadline(time.Time{}); !conn.set.IsZero() {
			t.Errorf("%s: a deadline that was lifted is %v", name, conn.set)
		}
	}
}
