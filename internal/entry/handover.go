package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/message"
)

const (
	// handoverRecords bounds the number of keys in one message of a hand-over.
	handoverRecords = 256
	// handoverTimeout bounds a hand-over as a whole.
	handoverTimeout = 10 * time.Second
	// successorsPerTable is the number of successors that receive each table.
	successorsPerTable = 2
)

// handoverResult is the result of a hand-over.
type handoverResult struct {
	// keys counts the keys of all tables, including tables that no successor accepted.
	keys int
	// successors counts the entries that accepted at least one whole table.
	successors int
}

// keyTable is the key table of one home, in parts, with the addresses of the entries that may adopt
// it.
type keyTable struct {
	parts     []message.Handover
	addresses []string
}

// handOver gives this entry's sealed key table, and the tables that it adopted from others, to
// their successors.
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
			klog.InfoS("no successor accepted the idempotency keys of an entry; requests with these keys get the outcome unknown", "home", t.parts[0].Home)
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

// handOverTable gives a table to the first successorsPerTable successors that accept it and adds
// these to successors.
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
			klog.InfoS("a successor did not accept the idempotency keys; trying the next one", "peer", address, "reason", ack.Reason, "err", err)
			return false
		}
	}
	return true
}
