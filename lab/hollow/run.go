package hollow

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// Run is the result of measurements at increasing fleet sizes, as written to its file.
type Run struct {
	Why           string  `json:"why,omitempty"`
	At            string  `json:"at"` // UTC
	Cores         int     `json:"cores"`
	Coordinators  int     `json:"coordinators"`
	RegionRouters int     `json:"region_routers"`
	RegionServers int     `json:"region_servers"`
	TTLS          float64 `json:"ttl_s"`
	BeatMS        float64 `json:"beat_ms"`
	IdleS         float64 `json:"idle_s"`
	Steps         []Step  `json:"steps"`

	Slopes []scalingfit.Line `json:"slopes,omitempty"`
}

// NewRun returns a run without steps.
func NewRun(why string, o Options) *Run {
	return &Run{Why: why, At: time.Now().UTC().Format("2006-01-02 15:04"), Cores: runtime.NumCPU(),
		Coordinators:  o.Coordinators,
		RegionRouters: o.RegionRouters, RegionServers: o.RegionServers,
		TTLS: o.TTL.Seconds(), BeatMS: millis(o.HeartbeatTimeout),
		IdleS: o.Idle.Seconds()}
}

// Leader returns the resource use of the leader at rest.
func (s *Step) Leader() (u Usage) {
	for _, one := range s.Idle {
		if one.Leader {
			u = one
		}
	}
	return u
}

// MaxOtherVoter returns the maximum of each figure over the other voters at rest.
func (s *Step) MaxOtherVoter() (u Usage) {
	for _, one := range s.Idle {
		if one.Leader {
			continue
		}
		u.Cores, u.ResidentMB = max(u.Cores, one.Cores), max(u.ResidentMB, one.ResidentMB)
		u.Descriptors, u.ReadPerS = max(u.Descriptors, one.Descriptors), max(u.ReadPerS, one.ReadPerS)
	}
	return u
}

// WriteTableHeader writes the head of a Markdown table of steps.
func (r *Run) WriteTableHeader(w io.Writer) {
	fmt.Fprintln(w, "| routers | sessions, drains, all reported after s | join: leader, voter CPU s | at rest: leader cores, MB, descriptors, KB/s read | other voter | log entries a s | router: bytes/s in, out, connections | drain: p50, p99, last, all acknowledged ms | leader CPU s a drain | all restarted: last has a drain after s | this process: cores, MB |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// WriteTableRow writes the table row of a step.
func (r *Run) WriteTableRow(w io.Writer, s Step) {
	usage := func(u Usage) string {
		return fmt.Sprintf("%.2f, %.0f, %d, %.0f", u.Cores, u.ResidentMB, u.Descriptors, u.ReadPerS/1000)
	}
	fmt.Fprintf(w, "| %d | %.2f, %.2f, %.2f | %.2f, %.2f | %s | %s | %.0f | %.0f, %.0f, %.1f | %.0f, %.0f, %.0f, %.0f | %.2f | %.2f | %.2f, %.0f |\n", s.Routers,
		s.SessionS, s.FirstDrainSetS, s.ReportedS, s.JoinLeaderCPUS, s.JoinVoterCPUS,
		usage(s.Leader()), usage(s.MaxOtherVoter()), s.EntriesPerS,
		s.RouterInPerS, s.RouterOutPerS, s.Connections, s.DrainP50MS, s.DrainP99MS, s.DrainLastMS,
		s.DrainAckedMS, s.DrainLeaderCPU, s.RestartS, s.HollowCores, s.HollowMB)
}
