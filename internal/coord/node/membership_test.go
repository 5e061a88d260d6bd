package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// startMember starts a coordinator with this name on a directory. It is closed at the end of the
// test unless the test closes it earlier.
func startMember(t *testing.T, name, directory string) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	return startMemberAt(t, name, directory, address)
}

func startMemberAt(t *testing.T, name, directory, address string) *Node {
	t.Helper()
	n, err := Start(memberOptions(name, directory, address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() }) // the test may have closed it already
	return n
}

func memberOptions(name, directory, address string) Options {
	return Options{
		Name:             name,
		Directory:        directory,
		ListenAddress:    address,
		ClientAddress:    "127.0.0.1:1",
		ClockRateBound:   coord.DefaultClockRateBound,
		SnapshotEntries:  1 << 20,
		HeartbeatTimeout: 100 * time.Millisecond,
	}
}

func (n *Node) asMember() Member {
	status := n.Status()
	return Member{
		Name:             n.options.Name,
		Identity:         status.Identity,
		Address:          n.options.ListenAddress,
		SupportedVersion: status.SupportedVersion,
	}
}

// bootstrapAndUpgrade bootstraps a group of this coordinator alone, at the latest version of
// commands.
func bootstrapAndUpgrade(t *testing.T, n *Node) {
	t.Helper()
	if err := n.Bootstrap([]Member{n.asMember()}); err != nil {
		t.Fatal(err)
	}
	upgrade(t, n)
}

func upgrade(t *testing.T, n *Node) {
	t.Helper()
	await(t, "leadership", func() bool {
		_, err := n.Propose(coord.Command{Op: coord.OpUpgrade, TargetVersion: coord.Version})
		return err == nil
	})
}

// addMember adds a coordinator and waits until it has applied what the leader has applied.
func addMember(t *testing.T, leader, added *Node) {
	t.Helper()
	if err := leader.AddMember(added.asMember()); err != nil {
		t.Fatal(err)
	}
	want := leader.Status().AppliedIndex
	await(t, added.options.Name+" has the log", func() bool { return added.Status().AppliedIndex >= want })
}

func countVoters(n *Node) (voters int) {
	for _, m := range n.Status().Members {
		if m.IsVoter {
			voters++
		}
	}
	return voters
}

// Guards against a group of one that can never grow because the new coordinator counts as
// unreachable: after a bootstrap, and after a recovery.
func TestGroupOfOneGrowsToThree(t *testing.T) {
	for name, isRecovered := range map[string]bool{"after init": false, "after recover": true} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			c1 := startMember(t, "c1", directory)
			bootstrapAndUpgrade(t, c1)
			if isRecovered {
				address := c1.options.ListenAddress
				if err := c1.Close(); err != nil {
					t.Fatal(err)
				}
				if err := Recover(memberOptions("c1", directory, address)); err != nil {
					t.Fatal(err)
				}
				c1 = startMemberAt(t, "c1", directory, address)
				upgrade(t, c1)
			}
			c2 := startMember(t, "c2", t.TempDir())
			addMember(t, c1, c2)
			addMember(t, c1, startMember(t, "c3", t.TempDir()))
			if got := countVoters(c1); got != 3 {
				t.Errorf("%d voters, want 3", got)
			}
			if err := c2.Close(); err != nil {
				t.Fatal(err)
			}
			upgrade(t, c1) // the other two of three still commit
		})
	}
}

// Guards against giving a vote to a dead coordinator, which would stop a group of one for good.
// Once the coordinator runs it can be added.
func TestDeadCoordinatorGetsNoVote(t *testing.T) {
	c1 := startMember(t, "c1", t.TempDir())
	bootstrapAndUpgrade(t, c1)
	directory := t.TempDir()
	c2 := startMember(t, "c2", directory)
	member := c2.asMember()
	if err := c2.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c1.AddMember(member); err == nil || !strings.Contains(err.Error(), "does not respond") {
		t.Errorf("a dead coordinator was added: %v", err)
	}
	if got := len(c1.Status().Members); got != 1 {
		t.Errorf("%d members, want 1", got)
	}
	upgrade(t, c1)
	addMember(t, c1, startMemberAt(t, "c2", directory, member.Address))
	if got := countVoters(c1); got != 2 {
		t.Errorf("%d voters, want 2", got)
	}
}

// Guards against an interrupted addition that can't be repeated: a member without a vote gets one
// when it is added again.
func TestMemberWithoutVoteIsAddedAgain(t *testing.T) {
	c1 := startMember(t, "c1", t.TempDir())
	bootstrapAndUpgrade(t, c1)
	c2 := startMember(t, "c2", t.TempDir())
	added := c2.asMember().server()
	if err := c1.raft.AddNonvoter(added.ID, added.Address, 0, proposeTimeout).Error(); err != nil {
		t.Fatal(err)
	}
	addMember(t, c1, c2)
	if got := countVoters(c1); got != 2 {
		t.Errorf("%d voters, want 2", got)
	}
}
