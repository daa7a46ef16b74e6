package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/message"
)

const (
	// handoverRecords is how many keys one message of a hand-over holds at most.
	handoverRecords = 256
	// handoverTimeout bounds a hand-over as a whole.
	handoverTimeout = 10 * time.Second
	// enoughSuccessors is how many successors take each table.
	enoughSuccessors = 2
)

// handover says how a hand-over went.
type handover struct {
	keys int
	// successors counts the entries that took whole tables.
	successors int
}

// table is the keys of one home, in parts, with who may take them.
type table struct {
	parts     []message.Handover
	addresses []string
}

// handOver gives the sealed idempotency table to its successors, and with it
// what this entry adopted from others before.
func (e *Entry) handOver(ctx context.Context) handover {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var done handover
	takers := make(map[string]bool)
	for _, t := range e.tables() {
		took := e.handOverTable(ctx, t, takers)
		for _, part := range t.parts {
			done.keys += len(part.Records)
		}
		if took == 0 && len(t.addresses) > 0 {
			klog.InfoS("nobody took the idempotency keys of an entry; callers that ask for them will be told unknown", "home", t.parts[0].Home)
		}
	}
	done.successors = len(takers)
	return done
}

// tables returns this entry's own table and those that it adopted.
func (e *Entry) tables() []table {
	var tables []table
	e.engine.view(func(_ time.Duration, c *core.Core) {
		for _, part := range c.Handover(handoverRecords) {
			if n := len(tables); n > 0 && tables[n-1].parts[0].Home == part.Home {
				tables[n-1].parts = append(tables[n-1].parts, part)
				continue
			}
			tables = append(tables, table{parts: []message.Handover{part}, addresses: c.SuccessorAddresses(part.Home)})
		}
	})
	return tables
}

// handOverTable gives a table to the first enoughSuccessors that accept it and adds
// them to takers.
func (e *Entry) handOverTable(ctx context.Context, t table, takers map[string]bool) (took int) {
	for _, address := range t.addresses {
		if took == enoughSuccessors {
			break
		}
		if e.handOverTo(ctx, address, t.parts) {
			takers[address] = true
			took++
		}
	}
	return took
}

func (e *Entry) handOverTo(ctx context.Context, address string, parts []message.Handover) bool {
	for _, part := range parts {
		ack, err := e.links.Handover(ctx, address, part)
		if err != nil || !ack.Accepted {
			klog.InfoS("a successor did not take the idempotency keys; the next one is asked", "peer", address, "reason", ack.Reason, "err", err)
			return false
		}
	}
	return true
}
