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
	// successorsPerTable is how many successors take each table.
	successorsPerTable = 2
)

// handoverResult says how a hand-over went.
type handoverResult struct {
	keys int
	// successors counts the entries that took whole tables.
	successors int
}

// keyTable is the keys of one home, in parts, with who may take them.
type keyTable struct {
	parts     []message.Handover
	addresses []string
}

// handOver gives the sealed idempotency table to its successors, and with it
// what this entry adopted from others before.
func (e *Entry) handOver(ctx context.Context) handoverResult {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var result handoverResult
	successors := make(map[string]bool)
	for _, t := range e.keyTables() {
		accepted := e.handOverTable(ctx, t, successors)
		for _, part := range t.parts {
			result.keys += len(part.Records)
		}
		if accepted == 0 && len(t.addresses) > 0 {
			klog.InfoS("nobody took the idempotency keys of an entry; callers that ask for them will be told unknown", "home", t.parts[0].Home)
		}
	}
	result.successors = len(successors)
	return result
}

// keyTables returns this entry's own table and those that it adopted.
func (e *Entry) keyTables() []keyTable {
	var tables []keyTable
	e.engine.view(func(_ time.Duration, c *core.Core) {
		for _, part := range c.Handover(handoverRecords) {
			if n := len(tables); n > 0 && tables[n-1].parts[0].Home == part.Home {
				tables[n-1].parts = append(tables[n-1].parts, part)
				continue
			}
			tables = append(tables, keyTable{parts: []message.Handover{part}, addresses: c.SuccessorAddresses(part.Home)})
		}
	})
	return tables
}

// handOverTable gives a table to the first successorsPerTable that accept it and adds
// them to takers.
func (e *Entry) handOverTable(ctx context.Context, t keyTable, successors map[string]bool) (accepted int) {
	for _, address := range t.addresses {
		if accepted == successorsPerTable {
			break
		}
		if e.handOverTo(ctx, address, t.parts) {
			successors[address] = true
			accepted++
		}
	}
	return accepted
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
