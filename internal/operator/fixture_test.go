package operator

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admission"
)

// An operator file with every key set must be parsed into the same values as by an older version.
// If a key were lost, operators' files would be rejected at the next start.
func TestEveryKeyIsParsed(t *testing.T) {
	file, err := Load("testdata/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	wantLog := Log{Level: "debug", Format: "json", RepeatEvery: "30s", RepeatBurst: 7, Trace: true}
	if file.Version != 1 || file.Log != wantLog || file.Log.RepeatInterval() != 30*time.Second {
		t.Errorf("version %d, log %+v", file.Version, file.Log)
	}

	wantAgreement := Agreement{
		Coordinators: []string{"c1=127.0.0.1:7201", "c2=127.0.0.1:7202"},
		TTL:          "12s",
		Probes:       true,
		ProbeEvery:   "800ms",
		ProbeStale:   "2600ms",
		Drains:       true,
		Label:        "build-7",
	}
	if !reflect.DeepEqual(file.Agreement, wantAgreement) || Duration(file.Agreement.TTL) != 12*time.Second {
		t.Errorf("agreement %+v", file.Agreement)
	}
	addrs := map[string]string{"c1": "127.0.0.1:7201", "c2": "127.0.0.1:7202"}
	if got := file.Agreement.CoordinatorAddrs(); !reflect.DeepEqual(got, addrs) {
		t.Errorf("coordinators %v", got)
	}

	rules, tenants, err := file.Admission.Config()
	if err != nil || !file.Admission.Enabled {
		t.Fatal(file.Admission.Enabled, err)
	}
	wantRules := admission.Config{
		Tenants: []admission.Tenant{
			{Name: "tax", Weight: 3, GuaranteedPerSecond: 20, GuaranteedBurst: 5},
			{Name: "health", Weight: 1},
		},
		OthersWeight:        2.5,
		Flows:               2048,
		Buckets:             32,
		RehashMillis:        7000,
		QueueLimit:          600,
		ReservationLimit:    3000,
		MaxWaitMillis:       150,
		MaxRetryAfterMillis: 1200,
		InitialLimit:        48,
		MinLimit:            6,
		MaxLimit:            1024,
		RetryBudgetShare:    0.1,
		RetryBudgetBurst:    15,
	}
	if !reflect.DeepEqual(rules, wantRules) {
		t.Errorf("got  %+v\nwant %+v", rules, wantRules)
	}
	wantTenants := admission.TenantRules{
		{Source: admission.TenantFromKey, Prefix: "health:", Tenant: "health"},
		{Source: admission.TenantFromNetwork, Network: netip.MustParsePrefix("10.1.0.0/16"), Tenant: "tax"},
		{Source: admission.TenantFromNetwork, Network: netip.MustParsePrefix("10.2.0.0/16")},
		{Source: admission.TenantFromClient},
	}
	if !reflect.DeepEqual(tenants, wantTenants) {
		t.Errorf("got  %+v\nwant %+v", tenants, wantTenants)
	}
}
