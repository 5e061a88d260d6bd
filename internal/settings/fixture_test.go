package settings

import (
	"os"
	"reflect"
	"testing"

	"dockhinge.example/dockhinge/decide"
)

// A settings object with every key set must be parsed into the same values as by an older version.
// If a key were lost, its zero value would be used as if the platform had set it.
func TestEverySettingIsParsed(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		LoadColumns:          []string{"qps", "eps", "util", "inflight", "latency_ms"},
		ConnectTimeoutMillis: 250,
		Config: decide.Config{
			Routers:     5,
			RouterIndex: 3,
			Zone:        "b",
			Classes: []decide.Class{
				{
					Name: "read", Effect: decide.Idempotent, IdempotencyScope: "all",
					LatencyObjectiveMillis: 50, ObjectivePerWork: 1.5, DeadlineMillis: 2000,
					PriorityWeight: 1, LateWeight: 0.25,
				},
				{
					Name: "put", Effect: decide.IdempotentByKey,
					IdempotencyScope: "zone", IdempotencyWindowMillis: 2500,
					LatencyObjectiveMillis: 120, ObjectivePerWork: 2, DeadlineMillis: 3000,
					PriorityWeight: 4, LateWeight: 0.5,
				},
				{
					Name: "log", Effect: decide.NotIdempotent, IdempotencyScope: "all",
					LatencyObjectiveMillis: 900, ObjectivePerWork: 3, DeadlineMillis: 9000,
					PriorityWeight: 0.5, LateWeight: 0.125, IsStream: true,
				},
			},
			Tenants: []decide.Tenant{
				{Name: "tax", QuotaPerSecond: 40},
				{Name: "health", QuotaPerSecond: 15.5},
			},
			OverQuotaWeight:       0.2,
			WeightByWork:          true,
			CacheAside:            true,
			OriginKind:            "origin",
			SizesAreLoads:         true,
			LoadByHealthCheck:     true,
			PollEndpoints:         true,
			PollWithinMillis:      4000,
			HealthChecksAllowed:   true,
			GossipAllowed:         true,
			CancelAllowed:         true,
			HedgingAllowed:        true,
			SendRetryAfter:        true,
			MaxRetryAfterMillis:   1700,
			MaxAttempts:           4,
			IdleTimeoutMillis:     10000,
			CPUMicrosPerSecond:    250000,
			SlowStartMillis:       8000,
			SlowStartInitialShare: 0.3,
			OverloadFactor:        3,
			OverloadMillis:        2000,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if problems := Problems(text); problems != nil {
		t.Errorf("problems: %v", problems)
	}
}
