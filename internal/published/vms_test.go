package published_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
)

const entryJSON = `{"name":"entry-a1","incarnation":4,"role":"entry","state":"live","region":"mx","domain":"a",` +
	`"address":"127.0.0.1:8080","peer_address":"127.0.0.1:8081"}`

const endpointJSON = `{"name":"live-1","incarnation":18446744073709551615,"role":"endpoint","state":"leaving",` +
	`"region":"mx","domain":"b","address":"[::1]:9000","pool":"live"}`

func parseRows(vms ...string) (published.VMList, error) {
	text := `{"vms":[` + strings.Join(vms, ",") + `]}`
	return published.ParseVMs(published.Value{Name: published.VMsValue, Revision: 9, Data: []byte(text)})
}

func TestParseVMs(t *testing.T) {
	list, err := parseRows(entryJSON, strings.Replace(endpointJSON, `"pool"`, `"rack":12,"pool"`, 1))
	want := published.VMList{Revision: 9, VMs: []published.VM{
		{
			Name: "entry-a1", Incarnation: 4, Role: published.EntryRole, State: published.Live, Region: "mx",
			Domain: "a", Address: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8081",
		},
		{
			Name: "live-1", Incarnation: 1<<64 - 1, Role: published.EndpointRole, State: published.Leaving, Region: "mx",
			Domain: "b", Address: "[::1]:9000", Pool: "live", Slots: published.DefaultSlots,
		},
	}}
	if diff := cmp.Diff(want, list); diff != "" || err != nil {
		t.Fatalf("error %v, list (-want +got):\n%s", err, diff)
	}
}

// Guards against a mistake in one VM that looks as if VMs had been removed: the whole list is
// refused, and the error names the VM and the field.
func TestParseVMsRefuses(t *testing.T) {
	cases := map[string]struct {
		vm, old, new string
		want         string
	}{
		"name empty":                 {endpointJSON, `"live-1"`, `""`, "name is empty"},
		"name with space":            {endpointJSON, `live-1`, `live 1`, "space"},
		"name too long":              {endpointJSON, `live-1`, strings.Repeat("x", 201), "longer"},
		"incarnation zero":           {entryJSON, `"incarnation":4`, `"incarnation":0`, "incarnation is zero"},
		"incarnation missing":        {entryJSON, `"incarnation":4,`, ``, "incarnation is zero"},
		"incarnation negative":       {entryJSON, `"incarnation":4`, `"incarnation":-4`, "not readable"},
		"state unknown":              {endpointJSON, `leaving`, `left`, `state "left"`},
		"role unknown":               {endpointJSON, `"role":"endpoint"`, `"role":"proxy"`, `role "proxy"`},
		"region missing":             {endpointJSON, `"region":"mx",`, ``, "region is empty"},
		"domain missing":             {endpointJSON, `"domain":"b",`, ``, "domain is empty"},
		"host name":                  {endpointJSON, `[::1]:9000`, `live-1:9000`, "not an IP:port"},
		"port missing":               {endpointJSON, `[::1]:9000`, `127.0.0.1`, "not an IP:port"},
		"port zero":                  {endpointJSON, `[::1]:9000`, `127.0.0.1:0`, "not an IP:port"},
		"any address":                {endpointJSON, `[::1]:9000`, `0.0.0.0:9000`, "not an IP:port"},
		"pool missing":               {endpointJSON, `,"pool":"live"`, ``, "pool is empty"},
		"too many slots":             {endpointJSON, `"pool"`, `"slots":1025,"pool"`, "slots 1025"},
		"negative slots":             {endpointJSON, `"pool"`, `"slots":-1,"pool"`, "slots -1"},
		"endpoint with peer address": {endpointJSON, `"pool"`, `"peer_address":"127.0.0.1:1","pool"`, "no peer_address"},
		"entry without peer address": {entryJSON, `,"peer_address":"127.0.0.1:8081"`, ``, "peer_address"},
		"entry with pool":            {entryJSON, `"peer_address"`, `"pool":"live","peer_address"`, "no pool"},
		"entry with slots":           {entryJSON, `"peer_address"`, `"slots":2,"peer_address"`, "no slots"},
		"duplicate name":             {endpointJSON, `}`, `},` + endpointJSON, "not unique"},
		"truncated":                  {endpointJSON, `"pool":"live"}`, ``, "not readable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			broken := strings.Replace(c.vm, c.old, c.new, 1)
			if broken == c.vm {
				t.Fatal("the case does not change the JSON")
			}
			list, err := parseRows(broken)
			if fault.KindOf(err) != fault.PlatformAnswer || !strings.Contains(err.Error(), c.want) || list.VMs != nil {
				t.Fatalf("error %v, list %+v; want an error that contains %q", err, list, c.want)
			}
		})
	}
	for _, text := range []string{"", "null", "{}", `{"vms":null}`, `{"vms":[]} {}`, `[]`} {
		if _, err := published.ParseVMs(published.Value{Data: []byte(text)}); fault.KindOf(err) != fault.PlatformAnswer {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

func TestEncodedVMsParseUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := published.VMList{Revision: 3, VMs: []published.VM{}}
		for i := range rapid.IntRange(0, 20).Draw(t, "count") {
			vm := endpointVM(fmt.Sprintf("vm-%d", i))
			vm.Incarnation = rapid.Uint64Min(1).Draw(t, "incarnation")
			vm.Slots = rapid.IntRange(1, published.MaxSlots).Draw(t, "slots")
			vm.Pool = rapid.StringMatching(`[\pL\pN<>&"'-]{1,20}`).Draw(t, "pool")
			list.VMs = append(list.VMs, vm)
		}
		parsed, err := published.ParseVMs(published.Value{Revision: 3, Data: published.EncodeVMs(list)})
		if diff := cmp.Diff(list, parsed); diff != "" || err != nil {
			t.Fatalf("error %v (-want +got):\n%s", err, diff)
		}
	})
}
