package store

// Injector switches the faults of a Store on and off; it implements storetest.Injector.
type Injector struct {
	store  *Store
	faults Faults
}

// NewInjector returns the injector of a store without faults.
func NewInjector(s *Store) *Injector { return &Injector{store: s} }

// Refuse sets whether the store refuses every call.
func (i *Injector) Refuse(on bool) {
	i.faults.Outage = on
	i.store.SetFaults(i.faults)
}

// LoseAnswers makes the answers of the next n writes get lost.
func (i *Injector) LoseAnswers(n int) {
	f := i.faults
	f.LoseNext = n
	i.store.SetFaults(f)
}

// DropWrites sets whether every write is lost before it takes effect.
func (i *Injector) DropWrites(on bool) {
	i.faults.DropShare = 0
	if on {
		i.faults.DropShare = 1
	}
	i.store.SetFaults(i.faults)
}

// ExpireWatches clears the history, so that watches have to be restarted from a list.
func (i *Injector) ExpireWatches() { i.store.ClearHistory() }

// Repeat makes each watch repeat the last n events.
func (i *Injector) Repeat(n int) {
	i.faults.Duplicate = n
	i.store.SetFaults(i.faults)
}
