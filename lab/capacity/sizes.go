// Package capacity computes what the control plane and the connections of the data plane cost at a given
// size of the fleet, and writes the tables of docs/CAPACITY.md. The sizes come from a TOML file, the
// slopes from a file of measurements at several fleet sizes. A figure that no run measured is printed as "not
// measured".
package capacity

import (
	"bytes"
	_ "embed" // for sizes.toml
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Sizes describes the fleet that the tables are computed for. sizes.toml documents each field.
type Sizes struct {
	Routers                    float64 `toml:"routers"`
	Sites                      float64 `toml:"sites"`
	Servers                    float64 `toml:"servers"`
	RequestsPerS               float64 `toml:"requests_per_s"`
	BitsPerS                   float64 `toml:"bits_per_s"`
	Objects                    float64 `toml:"objects"`
	Regions                    float64 `toml:"regions"`
	Zones                      float64 `toml:"zones"`
	ConfigurationChangesPerDay float64 `toml:"configuration_changes_per_day"`
	ConfigurationWithinS       float64 `toml:"configuration_within_s"`
	PurgesPerS                 float64 `toml:"purges_per_s"`
	PurgeBytes                 float64 `toml:"purge_bytes"`
	PurgeWithinS               float64 `toml:"purge_within_s"`

	RouterCoreShare    float64 `toml:"router_core_share"`
	RouterMemoryMB     float64 `toml:"router_memory_mb"`
	RouterBytesPerS    float64 `toml:"router_bytes_per_s"`
	ControlMachines    float64 `toml:"control_machines"`
	MachinesLostPerDay float64 `toml:"machines_lost_per_day"`
	RestartsPerDay     float64 `toml:"restarts_per_day"`
	ZoneRouters        float64 `toml:"zone_routers"`
	RegionCutS         float64 `toml:"region_cut_s"`
	PurgeBurst         float64 `toml:"purge_burst"`
	ChangeBurst        float64 `toml:"change_burst"`

	Voters        float64 `toml:"voters"`
	Observers     float64 `toml:"observers"`
	RegionRouters float64 `toml:"region_routers"`
	RegionServers float64 `toml:"region_servers"`

	LeaderCores       float64 `toml:"leader_cores"`
	SessionsMax       float64 `toml:"sessions_max"`
	RolloutRoutersMax float64 `toml:"rollout_routers_max"`
	RolloutServersMax float64 `toml:"rollout_servers_max"`
	SightingsMax      float64 `toml:"sightings_max"`
	ConnectionsMax    float64 `toml:"connections_max"`
	WatchersMax       float64 `toml:"watchers_max"`
	PermitsMax        float64 `toml:"permits_max"`
	ValueBytesMax     float64 `toml:"value_bytes_max"`
	SessionTTLS       float64 `toml:"session_ttl_s"`
}

//go:embed sizes.toml
var shipped []byte

// ShippedSizes returns the sizes in the embedded sizes.toml.
func ShippedSizes() (Sizes, error) { return ParseSizes(shipped) }

// ParseSizes reads the TOML text of a file of sizes. Unknown keys are errors.
func ParseSizes(text []byte) (s Sizes, err error) {
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return s, fmt.Errorf("sizes: %w", err)
	}
	return s, nil
}

// Set changes sizes by assignments of the form KEY=VALUE, with the keys of the file.
func (s *Sizes) Set(assignments []string) error {
	for _, assignment := range assignments {
		if !strings.Contains(assignment, "=") {
			return fmt.Errorf("sizes: %q is not of the form KEY=VALUE", assignment)
		}
		if err := toml.NewDecoder(strings.NewReader(assignment)).DisallowUnknownFields().Decode(s); err != nil {
			return fmt.Errorf("sizes: %q: %w", assignment, err)
		}
	}
	return nil
}
