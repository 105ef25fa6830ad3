package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const testLoadTime = 1100 * time.Millisecond

// simulation is a service of replicas and models in which each load takes
// testLoadTime.
type simulation struct {
	t          *testing.T
	now        time.Time
	replicas   []*Replica
	models     []Model
	loadEnds   map[string]time.Time // end of the current load by replica
	loadOrders map[string]Order
	loads      int
}

func newSimulation(t *testing.T, replicas, models int) *simulation {
	s := &simulation{t: t, now: time.Unix(0, 0), loadEnds: make(map[string]time.Time), loadOrders: make(map[string]Order)}
	for i := range replicas {
		r := &Replica{ID: fmt.Sprintf("r%02d", i), Service: "s", DataCentre: fmt.Sprintf("c%d", i%3), Versions: make(map[string]int64), Serves: make(map[string]bool)}
		for m := range models {
			r.Versions[fmt.Sprintf("m%d", m)] = 1
		}
		s.replicas = append(s.replicas, r)
	}
	for m := range models {
		s.models = append(s.models, Model{Name: fmt.Sprintf("m%d", m), Service: "s", Newest: 1, MaxLag: 1})
	}
	return s
}

// tick advances the time, completes loads and executes new orders.
func (s *simulation) tick(step time.Duration) {
	s.now = s.now.Add(step)
	for _, r := range s.replicas {
		if end, ok := s.loadEnds[r.ID]; ok && !s.now.Before(end) {
			r.Versions[s.loadOrders[r.ID].Model] = s.loadOrders[r.ID].Version
			r.Busy, r.Loading = false, ""
			delete(s.loadEnds, r.ID)
		}
	}
	Assign(Defaults(), s.replicas, s.models)
	for _, o := range Next(Defaults(), s.replicas, s.models, s.now) {
		r := s.replica(o.Replica)
		must.False(s.t, r.Busy, must.Sprint("order to a busy replica"))
		r.Busy, r.Loading = true, o.Model
		s.loadEnds[r.ID], s.loadOrders[r.ID] = s.now.Add(testLoadTime), o
		s.loads++
	}
}

func (s *simulation) replica(id string) *Replica {
	for _, r := range s.replicas {
		if r.ID == id {
			return r
		}
	}
	s.t.Fatalf("replica %s does not exist", id)
	return nil
}

// usable returns the number of replicas that can serve a model at an allowed
// version.
func (s *simulation) usable(m Model) int {
	n := 0
	for _, r := range s.replicas {
		if r.Serves[m.Name] && r.Loading != m.Name && r.Versions[m.Name] >= m.Newest-m.MaxLag {
			n++
		}
	}
	return n
}

// Guards against a model without a replica at an allowed version because loads of
// other models went first. Three trainers each publish a version every 4 s to 9 or
// 12 replicas, two of which may load concurrently.
func TestEveryModelHasReplicaAtAllowedVersion(t *testing.T) {
	for _, replicas := range []int{9, 12} {
		for _, stagger := range []time.Duration{0, 700 * time.Millisecond, 1300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d replicas, %s apart", replicas, stagger), func(t *testing.T) {
				s := newSimulation(t, replicas, 3)
				const step = 50 * time.Millisecond
				for at := time.Duration(0); at < 60*time.Second; at += step {
					for i := range s.models {
						s.models[i].Newest = 1 + int64((at+4*time.Second-time.Duration(i)*stagger)/(4*time.Second))
					}
					s.tick(step)
					for _, m := range s.models {
						must.Greater(t, 0, s.usable(m), must.Sprintf("%s has no replica at an allowed version, newest %d, at %s", m.Name, m.Newest, at))
					}
				}
			})
		}
	}
}

// Guards against loads of a model on more replicas than its equal share.
func TestLoadsStayWithinEqualShare(t *testing.T) {
	s := newSimulation(t, 12, 3)
	versions := int64(10)
	for v := int64(2); v <= versions; v++ {
		for i := range s.models {
			s.models[i].Newest = v
		}
		for range 200 {
			s.tick(100 * time.Millisecond)
		}
	}
	must.LessEq(t, int(versions-1)*len(s.replicas), s.loads)
}

// Guards against orders to replicas that are leaving, busy or not yet due for an
// order.
func TestOrdersOnlyToIdleReplicas(t *testing.T) {
	s := newSimulation(t, 4, 1)
	s.models[0].Newest = 5
	Assign(Config{ModelsPerReplica: 1, LoadShare: 1}, s.replicas, s.models)
	s.replicas[0].Leaving = true
	s.replicas[1].Busy = true
	s.replicas[2].NotBefore = s.now.Add(time.Second)
	orders := Next(Config{ModelsPerReplica: 1, LoadShare: 1}, s.replicas, s.models, s.now)
	must.Len(t, 1, orders)
	must.EqOp(t, "r03", orders[0].Replica)
	must.EqOp(t, 5, orders[0].Version)
}

// Guards against assignments that change without need.
func TestAssignmentsAreStable(t *testing.T) {
	s := newSimulation(t, 9, 3)
	must.SliceNotEmpty(t, Assign(Defaults(), s.replicas, s.models))
	must.SliceEmpty(t, Assign(Defaults(), s.replicas, s.models))
	s.replicas[0].Leaving = true
	for _, id := range Assign(Defaults(), s.replicas, s.models) {
		must.NotEq(t, "r00", id)
	}
}
