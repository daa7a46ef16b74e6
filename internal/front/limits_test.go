package front

import (
	"net"
	"testing"
	"time"
)

// deadlineRecorder records the read deadline that is set on a connection.
type deadlineRecorder struct {
	net.Conn
	set time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error { d.set = t; return nil }

// Guards against an idle connection that is closed although the limits in force allow it longer,
// and against one that stays open beyond maxAllowed.
func TestIdleDeadlineFollowsAllowedLimits(t *testing.T) {
	at := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		allowed time.Duration
		later   time.Duration
	}{
		"less than the settings": {5 * time.Second, 0},
		"more than the settings": {50 * time.Second, 30 * time.Second},
		"more than maxAllowed":   {time.Hour, maxAllowed.Idle - 20*time.Second},
	} {
		cfg := ServerConfig{Limits: Limits{Idle: 20 * time.Second}, Allowed: func() Limits { return Limits{Idle: c.allowed} }}.withDefaults()
		conn := &deadlineRecorder{}
		g := &guardedConn{Conn: conn, cfg: &cfg}
		if g.SetReadDeadline(at); !conn.set.Equal(at) {
			t.Errorf("%s: while a request is in progress the deadline is %v later", name, conn.set.Sub(at))
		}
		g.idle.Store(true)
		if g.SetReadDeadline(at); conn.set.Sub(at) != c.later {
			t.Errorf("%s: the deadline is %v later, want %v", name, conn.set.Sub(at), c.later)
		}
		if g.SetReadDeadline(time.Time{}); !conn.set.IsZero() {
			t.Errorf("%s: a removed deadline is %v", name, conn.set)
		}
	}
}
