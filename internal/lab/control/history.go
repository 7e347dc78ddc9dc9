package control

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// maxProcesses bounds the processes of one history; the last index stands for the writers of the head.
const maxProcesses = 64

// checkTime bounds the search for a linearization.
const checkTime = 20 * time.Second

// operation is a write of the head that took effect, or an adoption by a balancer's packet path.
type operation struct {
	adopt   bool
	process int
	number  uint64
	sum     uint64
}

// modelState holds the checksum of every accepted revision, 8 bytes each, and the revision of each balancer.
type modelState struct {
	sums    string
	adopted [maxProcesses]uint64
}

func (s modelState) last() uint64 { return uint64(len(s.sums) / 8) }

func (s modelState) sum(number uint64) uint64 {
	return binary.BigEndian.Uint64([]byte(s.sums[(number-1)*8 : number*8]))
}

// write is allowed when the head keeps its revision, as when a new lease holder claims it, or increments it.
func (s modelState) write(o operation) (bool, modelState) {
	switch {
	case o.number == s.last():
		return o.number == 0 || s.sum(o.number) == o.sum, s
	case o.number == s.last()+1:
		s.sums += string(binary.BigEndian.AppendUint64(nil, o.sum))
		return true, s
	}
	return false, s
}

// adopt is allowed when the head has named that content and the number is higher than the balancer's previous one.
func (s modelState) adopt(o operation) (bool, modelState) {
	if o.number == 0 {
		return s.adopted[o.process] == 0, s
	}
	if o.number > s.last() || s.sum(o.number) != o.sum || o.number <= s.adopted[o.process] {
		return false, s
	}
	s.adopted[o.process] = o.number
	return true, s
}

var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(operation)
		if o.adopt {
			return pair(state.(modelState).adopt(o))
		}
		return pair(state.(modelState).write(o))
	},
	Equal: func(a, b any) bool { return a.(modelState) == b.(modelState) },
}

func pair(ok bool, s modelState) (bool, any) { return ok, s }

// checkHistory checks that the writes of the head and the balancers' adoptions are linearizable. It returns a
// description of the failure, or an empty string.
func checkHistory(heads []headWrite, adoptions [][]adoption) string {
	if len(adoptions) >= maxProcesses {
		return fmt.Sprintf("%d balancers exceed the limit of the history check", len(adoptions))
	}
	ops := make([]porcupine.Operation, 0, len(heads))
	for _, h := range heads {
		o := operation{process: maxProcesses - 1, number: h.head.Revision, sum: h.sum}
		if o.number == 0 {
			o.sum = 0
		}
		ops = append(ops, porcupine.Operation{
			ClientId: o.process, Input: o, Call: h.began.UnixNano(), Return: h.done.UnixNano(),
		})
	}
	for process, list := range adoptions {
		ops = append(ops, adoptionsOf(process, list)...)
	}
	if got := porcupine.CheckOperationsTimeout(model, ops, checkTime); got != porcupine.Ok {
		return fmt.Sprintf("%d writes of the head and adoptions: linearizable %s", len(ops), got)
	}
	return ""
}

// adoptionsOf returns the operations of one balancer; each begins right after the end of the previous one.
func adoptionsOf(process int, list []adoption) []porcupine.Operation {
	var ops []porcupine.Operation
	var before int64
	for _, a := range list {
		at := a.at.UnixNano()
		o := operation{adopt: true, process: process, number: a.number, sum: a.sum}
		ops = append(ops, porcupine.Operation{ClientId: process, Input: o, Call: before, Return: at})
		before = at + 1
	}
	return ops
}
