package refusal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/standin/store"
)

// process is a log in the seeded test, with its mirror to a peer.
type process struct {
	name  string
	log   *Log
	kill  func()
	relay bool

	mu   sync.Mutex
	to   *process
	dead bool
	// flaky is the probability that a call fails; half of the failed calls still deliver the records.
	flaky float64
	rng   *rand.Rand
}

// Mirror implements Mirror, and encodes the records as for a transfer.
func (p *process) Mirror(_ context.Context, records []Record) error {
	p.mu.Lock()
	to, fails, arrives := p.to, p.rng.Float64() < p.flaky, p.rng.IntN(2) == 0
	p.mu.Unlock()
	b, err := EncodeRecords(records)
	if err != nil {
		return err
	}
	got, err := DecodeRecords(b)
	if err != nil {
		return err
	}
	if to.isDead() || fails && !arrives {
		return errors.New("no answer")
	}
	if p.relay {
		to.log.Accept(got)
	} else {
		to.log.Adopt(p.name, got)
	}
	if fails {
		return errors.New("answer lost")
	}
	return nil
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// setPeer directs the mirror to another peer.
func (p *process) setPeer(to *process) {
	p.mu.Lock()
	p.to = to
	p.mu.Unlock()
	p.log.MirrorChanged()
}

func (p *process) setFlaky(f float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flaky = f
}

// TestSeededFaultsAndCrash runs three processes with a store and two without under a random mix of store faults, lost
// mirror calls and full memory, and stops one of them. Every refusal must be stored exactly once.
func TestSeededFaultsAndCrash(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { seededRun(t, seed) })
		})
	}
}

func seededRun(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := store.New(store.Config{Seed: seed})
	ps := processes(t, s, rng)
	victim, moment := ps[rng.IntN(len(ps))], rng.IntN(150)
	recorded := 0
	for step := range 150 {
		if rng.IntN(15) == 0 {
			s.SetFaults(store.Faults{
				Outage: rng.IntN(2) == 0, Jitter: time.Second, LoseShare: rng.Float64() / 2, DropShare: rng.Float64() / 2,
			})
		}
		p := ps[rng.IntN(len(ps))]
		p.setFlaky(rng.Float64() / 2)
		for range rng.IntN(20) {
			if !p.isDead() {
				refuse(p.log, rng.IntN(400))
				recorded++
			}
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		if step == moment {
			killProcess(t, ps, victim)
		}
	}
	s.SetFaults(store.Faults{})
	for _, p := range ps {
		p.setFlaky(0)
	}
	time.Sleep(5 * time.Minute)
	a := find(t, s, Query{})
	require.EqualValues(t, recorded, a.Refusals, "victim %s at %d", victim.name, moment)
}

// processes starts three processes with a store, each mirroring to the next, and two without that hand over to the
// first.
func processes(t *testing.T, s *store.Store, rng *rand.Rand) []*process {
	var out []*process
	limit := []int{20, 100, 5000}[rng.IntN(3)]
	for i := range 5 {
		p := &process{name: fmt.Sprintf("p%d", i), relay: i >= 3, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		cfg := Config{
			Process: p.name, Incarnation: 1, Mirror: p, Rand: p.random,
			MaxHeld: limit, MaxAdopted: limit, MaxQueue: limit, MirrorBatch: 16, MirrorRate: 50000,
		}
		if !p.relay {
			cfg.Store = s
		}
		out = append(out, p)
		p.log = NewLog(cfg)
	}
	for i, p := range out {
		p.to = out[0]
		if !p.relay {
			p.to = out[(i+1)%3]
		}
	}
	for _, p := range out {
		p.kill = runLog(t, p.log)
	}
	return out
}

func (p *process) random() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// killProcess stops the victim once its own records are mirrored, and notifies the others as the failure detector does.
func killProcess(t *testing.T, ps []*process, victim *process) {
	victim.setFlaky(0)
	require.NoError(t, victim.log.Sync(t.Context()))
	victim.kill()
	victim.mu.Lock()
	victim.dead = true
	adopter := victim.to
	victim.mu.Unlock()
	time.Sleep(3 * time.Second)
	for _, p := range ps {
		if p == victim {
			continue
		}
		p.log.PeerDied(victim.name)
		if p.to == victim {
			p.setPeer(adopter)
		}
	}
}
