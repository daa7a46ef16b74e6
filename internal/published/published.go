// Package published reads the platform's configuration service: published
// values with a revision, and the list of live and leaving VMs. The service is
// only ever read and watched; nothing here writes to it.
package published

import "context"

// Names of the values that tealhall reads.
const (
	// ProfilesValue holds the profile document (TOML).
	ProfilesValue = "tealhall/profiles"
	// VMsValue holds the list of VMs (JSON, see VMList).
	VMsValue = "tealhall/vms"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Value is one published value at one revision. Revisions of a name only grow at the service;
// a lagging replica, or one that was restored from a copy, may still answer with an older one. Those
// of the list of VMs bear the service's era (InGeneration), and grow through restorations as well.
type Value struct {
	Name     string
	Revision uint64
	Data     []byte
	// Problem says that what the service holds can't be read, and why. Revision and Data are those
	// of what was read before.
	Problem error
}

// Service is the platform's configuration service as a reader sees it.
// Implementations are safe for concurrent use.
type Service interface {
	// Read returns the current value of name.
	Read(ctx context.Context, name string) (Value, error)
	// Watch returns once the value of name has a revision later than after, or
	// with an error of kind fault.PlatformDown when the service ended the wait.
	// A wait that ends without a change returns a Value with Revision == after
	// and no data, which confirms that revision. A service that holds an older one, or that had
	// to be read anew, returns what it holds. One waiting Watch counts as one call at the service.
	Watch(ctx context.Context, name string, after uint64) (Value, error)
}

// LivenessChecker is a service that can be asked cheaply whether it answers at all, and how far it is. A
// watch that waits is silent, and so is a service that has stopped answering, or one that has
// forgotten the watch.
type LivenessChecker interface {
	// Liveness makes one cheap call.
	Liveness(ctx context.Context) (Liveness, error)
	// RenewWatch ends the call of a watch that waits, if there is one, and makes it anew from the
	// same place. Whoever waits for the watch waits on.
	RenewWatch()
}

// Liveness is how far a service is, in revisions of its own that count all changes.
type Liveness struct {
	// Latest is the latest that it holds, or was a moment ago; Delivered is up to where watches have
	// brought what changed, 0 if there is none.
	Latest, Delivered uint64
}

// Resumer is a service that can go on from a list of VMs that is held already, without reading
// it.
type Resumer interface {
	// Resume gives a list that was in force. An older one than the service knows changes nothing.
	Resume(list Value)
}

// State is what the platform says of a VM.
type State string

// The states of a VM in the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role says what runs on a VM.
type Role string

// The roles of a VM in the platform's list.
const (
	EntryRole    Role = "entry"
	EndpointRole Role = "endpoint"
)

// VM is one machine in the platform's list.
type VM struct {
	// Name is unique among the VMs that are live or leaving.
	Name string `json:"name"`
	// Incarnation distinguishes a replaced VM from the one before it under the
	// same name or address. Never zero.
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	State       State  `json:"state"`
	// Region and Domain place the VM; Domain is its failure domain.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Address is where requests are served, IP:port.
	Address string `json:"address"`
	// PeerAddress is where an entry serves its peers, IP:port; empty for endpoints.
	PeerAddress string `json:"peer_address,omitempty"`
	// Pool names the group of endpoints that share their work; empty for entries.
	Pool string `json:"pool,omitempty"`
	// Slots is how many requests an endpoint works on at a time; default 2.
	Slots int `json:"slots,omitempty"`
	// Cold: an endpoint that was started or emptied a moment ago and bears few requests.
	Cold bool `json:"cold,omitempty"`
}

// VMList is the platform's list at one revision. It lags behind reality.
type VMList struct {
	Revision uint64 `json:"-"`
	VMs      []VM   `json:"vms"`
	// Evacuated are the failure domains, in order, whose endpoints are to get nothing.
	Evacuated []string `json:"evacuated,omitempty"`
}
