package entry

import (
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
)

// sending decides which peers are sent large values now.
type sending struct {
	mu    sync.Mutex
	turns *assign.Turns
}

// ask returns 0 if a peer is sent the answer to its fetch now, or else after which time it is to ask
// again.
func (s *sending) ask(now time.Duration, peer uint64, f message.Fetch, answer *message.Document) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := max(answer.Size, len(answer.Data))
	return s.turns.Ask(now, assign.TransferID{Peer: peer, Name: f.Name}, size, f.Offset, len(answer.Data))
}

// counts returns the number of peers that are being sent a value, and that wait for it.
func (s *sending) counts() (sent, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Sending(), s.turns.Waiting()
}
