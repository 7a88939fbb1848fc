package state

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is one group with writers, replicas and a network that loses, repeats and reorders calls. Records are numbers; a
// replica's copy is the list of those that it accepted.
type simulation struct {
	t            *rapid.T
	registry     Registry
	members      []Member
	copies       int
	stored       map[string]*storedCopy // by folder name
	writers      []*writerProcess
	pendingCalls []func()       // calls and answers in flight: they may arrive in any order, or never
	committedIn  map[int]uint64 // by record: the epoch whose writer committed it
	lastRecord   int
	diskLost     bool
	ownerChanges int
	now          time.Duration
}

type storedCopy struct {
	Copy
	records []int
}

// writerProcess is a process that writes the group, or collects the promises to do so.
type writerProcess struct {
	sim         *simulation
	name        string
	instance    string
	epoch       uint64
	sets        []ReplicaSet
	promised    map[Replica]bool
	found       storedCopy
	started     bool
	fenced      bool // a replica reported another writer
	state       Writer
	firstNumber uint64 // number of the first record in appended
	adopted     []int
	appended    []int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, copies: rapid.IntRange(1, 2).Draw(t, "copies"), stored: map[string]*storedCopy{}, committedIn: map[int]uint64{}}
	for i := range 6 {
		member := Member{Name: fmt.Sprint("r", i), Instance: fmt.Sprint("p", i), Zone: fmt.Sprint(i % 2), Addr: fmt.Sprint("a", i), Folder: fmt.Sprint("f", i)}
		sim.members = append(sim.members, member)
		sim.stored[member.Folder] = &storedCopy{}
	}
	sim.apply(Event{Open: &Open{Name: "r0", Instance: "p0", Copies: sim.copies}})
	sim.startWriter()
	return sim
}

func (s *simulation) apply(event Event) bool {
	err := s.registry.Apply(s.members, event)
	var refusal *Refusal
	if err != nil && !errors.As(err, &refusal) {
		s.t.Fatalf("%v", err)
	}
	return err == nil
}

// startWriter starts a process for the writer that the registry names.
func (s *simulation) startWriter() {
	group := s.registry.Groups[0]
	s.writers = append(s.writers, &writerProcess{sim: s, name: group.Owner, instance: group.Writer, epoch: group.Epoch, sets: group.ReplicaSets(), promised: map[Replica]bool{}})
}

func (s *simulation) enqueue(call func()) { s.pendingCalls = append(s.pendingCalls, call) }

// ask requests a promise from a replica.
func (p *writerProcess) ask(replica Replica) {
	p.sim.enqueue(func() {
		stored := p.sim.stored[replica.Folder]
		if stored == nil { // its disk was lost
			return
		}
		err := stored.Promise(p.epoch, p.instance, "")
		snapshot := storedCopy{stored.Copy, slices.Clone(stored.records)}
		p.sim.enqueue(func() {
			if err != nil {
				p.fenced = true
				return
			}
			if p.started || p.fenced {
				return
			}
			p.promised[replica] = true
			if snapshot.ContentWriter != "" && (p.found.ContentWriter == "" || snapshot.Newer(p.found.Copy)) {
				p.found = snapshot
			}
			for _, set := range p.sets {
				count := 0
				for _, replica := range set.Replicas {
					if p.promised[replica] {
						count++
					}
				}
				if count < set.PromisesNeeded() {
					return
				}
			}
			p.start()
		})
	})
}

func (p *writerProcess) start() {
	for id, epoch := range p.sim.committedIn { // a process that is late may find less than a newer one, but then commits nothing
		if epoch < p.epoch && !slices.Contains(p.found.records, id) {
			p.sim.t.Fatalf("record %d, committed in epoch %d, is not among what %s found in epoch %d: %v", id, epoch, p.instance, p.epoch, p.found.records)
		}
	}
	p.started = true
	p.adopted = p.found.records
	p.firstNumber = max(p.found.Next, 1)
	p.state.Next = p.firstNumber
	p.state.SetReplicas(p.epoch, p.sim.copies, p.sets[0].Replicas)
}

// checkCommitted notes newly committed records, and fails if a later writer started without one of them.
func (p *writerProcess) checkCommitted() {
	for number := p.firstNumber; number < p.state.Committed(); number++ {
		if id := p.appended[number-p.firstNumber]; p.sim.committedIn[id] == 0 {
			p.sim.committedIn[id] = p.epoch
			for _, other := range p.sim.writers {
				// The last answer may have been in flight when the later writer started, which then has the record.
				if other.started && other.epoch > p.epoch && !slices.Contains(other.adopted, id) {
					p.sim.t.Fatalf("record %d is committed for %s of epoch %d, and %s of epoch %d started without it", id, p.instance, p.epoch, other.instance, other.epoch)
				}
			}
		}
	}
}

// send sends a replica at most so many of the records that it lacks, or a whole copy.
func (p *writerProcess) send(follower *Follower, most int) {
	sim, epoch := p.sim, p.state.Epoch
	first := follower.Acked
	whole := !follower.HasCopy || first < p.firstNumber
	records := append(slices.Clone(p.adopted), p.appended...)
	if !whole {
		records = slices.Clone(p.appended[first-p.firstNumber:])
		records = records[:min(len(records), most)]
	} else {
		first = p.state.Next
	}
	sim.enqueue(func() {
		stored := sim.stored[follower.Folder]
		if stored == nil {
			sim.enqueue(func() { p.state.RecordFailure(follower, sim.now, true) })
			return
		}
		updated, skip, err := stored.Copy, uint64(0), error(nil)
		if whole {
			err = updated.Reset(epoch, p.instance, first)
		} else {
			skip, err = updated.Append(epoch, p.instance, first, uint64(len(records)))
		}
		if err == nil {
			if whole {
				stored.records = slices.Clone(records)
			} else {
				stored.records = append(stored.records, records[skip:]...)
			}
			stored.Copy = updated
		}
		next := stored.Next
		sim.enqueue(func() {
			var fenced *FencedError
			var missing *MissingRecordsError
			switch {
			case errors.As(err, &fenced):
				p.fenced = p.fenced || fenced.Writer != p.instance
			case errors.As(err, &missing):
				follower.HasCopy, follower.Acked = missing.Whole, min(follower.Acked, missing.Next)
			case slices.Contains(p.state.Followers, follower):
				p.state.RecordAck(follower, next, whole, sim.now)
				p.checkCommitted()
			}
		})
	})
}

// Guards against the loss of committed records: whichever calls are lost, repeated, delayed or reordered, each later writer
// finds what an earlier one committed, and an earlier one commits nothing more once a later one has started.
func TestCommittedRecordsAreNeverLost(t *testing.T) {
	for range 20 { // a wrong order of copies shows in one simulation of a thousand
		rapid.Check(t, runSimulation)
	}
}

func runSimulation(t *rapid.T) {
	sim := newSimulation(t)
	draw := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	steps := rapid.IntRange(50, 400).Draw(t, "steps")
	for range steps {
		sim.now += 100 * time.Millisecond
		writer := sim.writers[len(sim.writers)-1]
		if len(sim.writers) > 1 && draw(4, "which") == 0 { // an earlier writer that does not know of the later one
			writer = sim.writers[draw(len(sim.writers), "writer")]
		}
		group := sim.registry.Groups[0]
		switch choice := draw(20, "what"); {
		case choice < 9 && len(sim.pendingCalls) > 0:
			i := draw(len(sim.pendingCalls), "call")
			call := sim.pendingCalls[i]
			switch draw(12, "fate") {
			case 0: // lost
			case 1: // delivered twice
				call()
				call()
			default:
				call()
			}
			sim.pendingCalls = slices.Delete(sim.pendingCalls, i, i+1)
		case choice < 12 && !writer.started && !writer.fenced:
			set := writer.sets[draw(len(writer.sets), "set")]
			if len(set.Replicas) > 0 {
				writer.ask(set.Replicas[draw(len(set.Replicas), "holder")])
			}
		case choice < 15 && writer.started && !writer.fenced && len(writer.state.Followers) > 0:
			writer.send(writer.state.Followers[draw(len(writer.state.Followers), "follower")], 1+draw(3, "most"))
		case choice < 17 && writer.started && !writer.fenced:
			sim.lastRecord++
			writer.appended = append(writer.appended, sim.lastRecord)
			writer.state.Next++
		case choice == 17 && writer.started && !writer.fenced && writer.instance == group.Writer: // replicas are replaced, or the set is complete
			current := GroupEpoch{ID: group.ID, Epoch: group.Epoch, Instance: writer.instance}
			if draw(2, "filled") == 0 && writer.state.Epoch == group.Epoch && writer.state.SetComplete() {
				sim.apply(Event{SetComplete: &current})
			} else if writer.state.Epoch == group.Epoch && len(group.Replicas) > 0 {
				var failed []string
				for _, replica := range group.Replicas {
					if draw(2, "gone") == 0 {
						failed = append(failed, replica.Name)
					}
				}
				sim.apply(Event{Replace: &Replace{GroupEpoch: current, Failed: failed}})
			}
			if group = sim.registry.Groups[0]; group.Epoch > writer.state.Epoch && group.Writer == writer.instance {
				writer.state.SetReplicas(group.Epoch, sim.copies, group.Replicas)
			}
		case choice == 18 && draw(3, "change") == 0:
			sim.ownerChanges++
			i := slices.IndexFunc(sim.members, func(member Member) bool { return member.Name == group.Owner })
			if draw(2, "heir") == 0 { // the owner restarts, with nothing
				sim.members[i].Instance = fmt.Sprint(sim.members[i].Name, "-", sim.ownerChanges)
				sim.apply(Event{Open: &Open{Name: group.Owner, Instance: sim.members[i].Instance, Copies: sim.copies}})
			} else { // or it is lost, and a successor takes over
				failed := sim.members[i]
				sim.members = slices.Delete(sim.members, i, i+1)
				sim.apply(Event{TakeOver: &TakeOver{ID: group.ID, Epoch: group.Epoch}})
				failed.Instance = fmt.Sprint(failed.Name, "-", sim.ownerChanges)
				sim.members = append(sim.members, failed)
			}
			sim.startWriter()
		case choice == 19 && sim.copies == 2 && !sim.diskLost && draw(4, "wipe") == 0: // a machine loses its disk, once per simulation
			sim.diskLost = true
			member := &sim.members[draw(len(sim.members), "member")]
			delete(sim.stored, member.Folder)
			member.Folder += "'"
			sim.stored[member.Folder] = &storedCopy{}
		}
	}
}
