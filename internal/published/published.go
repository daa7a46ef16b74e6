// Package published reads the platform's configuration service: published values with a revision,
// and the list of live and leaving VMs. It only reads and watches the service and never writes to
// it.
package published

import "context"

// Names of the values that tealhall reads.
const (
	// ProfilesValue is the profile document (TOML).
	ProfilesValue = "tealhall/profiles"
	// VMsValue is the list of VMs (JSON, see VMList).
	VMsValue = "tealhall/vms"
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Value is one published value at one revision. At the service, revisions of a name only grow. A
// lagging replica, or a service that was restored from a copy, may still answer with an older one.
// Revisions of the list of VMs contain the generation of the service (see InGeneration), so they
// grow across restorations too.
type Value struct {
	Name     string
	Revision uint64
	Data     []byte
	// List or Difference is the list of VMs in place of Data, if the service has it in that form.
	List       *VMList
	Difference *Difference
	// Problem is the reason why the current value of the service is unreadable, nil if it is
	// readable. With a Problem, Revision and Data are those of the value that was read before.
	Problem error
	// OtherChanged reports that a watch ended without a change of this value because another value of
	// the service changed.
	OtherChanged bool
	// CatchUp reports that the changes of the Difference are older than the call: they were made while
	// this process did not watch the service.
	CatchUp bool
}

// Unchanged reports whether the value only confirms its revision.
func (v *Value) Unchanged() bool { return v.Data == nil && v.List == nil && v.Difference == nil }

// Service is the platform's configuration service from the view of a reader. Implementations are
// safe for concurrent use.
type Service interface {
	// Read returns the current value of name.
	Read(ctx context.Context, name string) (Value, error)
	// Watch returns when the value of name has a later revision than the revision after, or with an
	// error of kind fault.PlatformDown when the service ended the wait. A wait that ends without a
	// change returns a Value with Revision == after and no data, which confirms that revision. If
	// the service has an older revision, or had to be read anew, Watch returns its current value.
	// One waiting Watch counts as one call to the service.
	Watch(ctx context.Context, name string, after uint64) (Value, error)
}

// LivenessChecker is a service that can be asked cheaply whether it answers and which revision it
// has. A waiting watch cannot show this: it is silent as long as nothing changes, and just as
// silent when the service has stopped answering or has lost the watch.
type LivenessChecker interface {
	// Liveness makes one cheap call.
	Liveness(ctx context.Context) (Liveness, error)
	// RenewWatch ends the call of a waiting watch, if there is one, and makes it again from the
	// same revision. The caller of the watch keeps waiting. It has no effect while Receiving.
	RenewWatch()
	// Receiving reports whether an answer is arriving. The service is alive then, although the answer
	// to a liveness check may be late behind a large one.
	Receiving() bool
}

// Liveness is the progress of a service in the service's own revisions, which count all changes.
type Liveness struct {
	// Latest is the newest revision that the service has, or had a moment ago. Delivered is the
	// revision up to which watches have delivered changes, 0 if there is no watch.
	Latest, Delivered uint64
}

// Resumer is a service that can continue from a known list of VMs without reading it.
type Resumer interface {
	// Resume makes the service continue from a list that was in force, or from a newer one if it has
	// one, after a time in which it was not watched from here.
	Resume(list Value)
}

// VMWatcher is a service that has the list of VMs in parsed form.
type VMWatcher interface {
	// WatchVMs is like Service.Watch for the list of VMs, but returns the difference from the
	// revision after where it can.
	WatchVMs(ctx context.Context, after uint64) (Value, error)
}

// State is the state of a VM in the platform's list.
type State string

// The states of a VM in the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the kind of process on a VM.
type Role string

// The roles of a VM in the platform's list.
const (
	EntryRole    Role = "entry"
	EndpointRole Role = "endpoint"
)

// VM is one row of the platform's list.
type VM struct {
	// Name is unique among the VMs that are live or leaving.
	Name string `json:"name"`
	// Incarnation distinguishes a VM from an earlier one with the same name or address. It is
	// never zero.
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	State       State  `json:"state"`
	// Region and Domain are the location of the VM; Domain is its failure domain.
	Region string `json:"region"`
	Domain string `json:"domain"`
	// Address is the IP:port at which the VM serves requests.
	Address string `json:"address"`
	// PeerAddress is the IP:port at which an entry serves its peers; empty for endpoints.
	PeerAddress string `json:"peer_address,omitempty"`
	// Pool is the name of the group of endpoints that share their work; empty for entries.
	Pool string `json:"pool,omitempty"`
	// Slots is the number of requests that an endpoint processes at a time; the default is 2.
	Slots int `json:"slots,omitempty"`
	// Cold marks an endpoint that was started or emptied a moment ago and can take few requests.
	Cold bool `json:"cold,omitempty"`
	// Registered orders the VMs by when the platform began to list them, 0 if that is unknown. Of two
	// VMs at one address, the one that was registered later runs there.
	Registered uint64 `json:"registered,omitempty"`
}

// Supersedes reports whether vm is known to have taken over the address of another VM: it was
// registered later or, where that is unknown, has the higher incarnation.
func (vm *VM) Supersedes(other *VM) bool {
	if vm.Registered != 0 && other.Registered != 0 {
		return vm.Registered > other.Registered
	}
	return vm.Incarnation > other.Incarnation
}

// VMList is the platform's list at one revision. It lags behind the actual state of the VMs.
type VMList struct {
	Revision uint64 `json:"-"`
	VMs      []VM   `json:"vms"`
	// Evacuated are the failure domains, sorted, whose endpoints must get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
}
