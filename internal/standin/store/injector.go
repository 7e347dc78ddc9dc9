package store

// Injector switches the faults of a Store on and off; it implements storetest.Injector.
type Injector struct {
	store  *Store
	faults Faults
}

// NewInjector returns the injector of a store without faults.
func NewInjector(s *Store) *Injector { return &Injector{store: s} }

// Refuse refuses every call, or none.
func (i *Injector) Refuse(on bool) {
	i.faults.Outage = on
	i.store.SetFaults(i.faults)
}

// LoseAnswers loses the answers of the next n writes.
func (i *Injector) LoseAnswers(n int) {
	f := i.faults
	f.LoseNext = n
	i.store.SetFaults(f)
}

// DropWrites loses every write before it takes effect, or none.
func (i *Injector) DropWrites(on bool) {
	i.faults.DropShare = 0
	if on {
		i.faults.DropShare = 1
	}
	i.store.SetFaults(i.faults)
}

// ExpireWatches drops the history, so that watches have to begin anew.
func (i *Injector) ExpireWatches() { i.store.ClearHistory() }

// Repeat makes each watch report the last n events again.
func (i *Injector) Repeat(n int) {
	i.faults.Duplicate = n
	i.store.SetFaults(i.faults)
}
