package radishmemory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testBudget = 40 << 20

func newAccount() *Account { return &Account{Budget: func() int64 { return testBudget }} }

// fill grows the grant to the size in steps, as a body arrives, and reports whether all were granted.
func fill(g *Grant, size int64, now time.Time) bool {
	for g.held < size {
		if !g.Grow(min(SmallBytes, size-g.held), now) {
			return false
		}
	}
	return true
}

// checkEmpty checks that every byte was released.
func checkEmpty(t *testing.T, a *Account) {
	t.Helper()
	if s := a.Stats(); s.Held != 0 || s.Grants != 0 || a.large != 0 || len(a.largeByCaller) != 0 {
		t.Errorf("after all grants were closed: %+v, large %d, by caller %v", s, a.large, a.largeByCaller)
	}
}

// TestReplayCrowd replays bodies of 4 MiB that arrive at the same time in steps of 64 kB, of which half stop short of their end. The
// budget must never be exceeded, some bodies must be completed, and small calls must be granted all the time.
func TestReplayCrowd(t *testing.T) {
	const bodies, step, size = 60, 64 << 10, 4 << 20
	a, now := newAccount(), time.Now()
	var active []*Grant
	for i := range bodies {
		active = append(active, a.Open(fmt.Sprint("caller-", i%3), nil))
	}
	completed := 0
	for round := 0; round < 600 && len(active) > 0; round++ {
		now = now.Add(20 * time.Millisecond)
		for i := 0; i < len(active); i++ {
			g := active[i]
			doesStop := g.held >= size-step && i%2 == 0
			if doesStop {
				continue
			}
			if g.held >= size {
				g.SetState(Running, now)
				completed++
			}
			if g.held >= size || !g.Grow(step, now) {
				g.Close()
				active = slices.Delete(active, i, i+1)
				i--
			}
		}
		if s := a.Stats(); s.Held > testBudget {
			t.Fatalf("round %d: %d bytes are held, the budget is %d", round, s.Held, testBudget)
		}
		small := a.Open("caller-small", nil)
		if !small.Grow(SmallBytes, now) {
			t.Fatalf("round %d: a small call was refused", round)
		}
		small.Close()
	}
	// Seven bodies fit at the same time, of which some stop short.
	if completed < 3 {
		t.Errorf("%d bodies were completed", completed)
	}
	for _, g := range active {
		g.Close()
	}
	checkEmpty(t, a)
}

// TestStalledGrantsGoFirst guards against bodies that stop short and keep the memory from others.
func TestStalledGrantsGoFirst(t *testing.T) {
	a, now := newAccount(), time.Now()
	evicted := make(map[string]bool)
	stalled, progressing := a.Open("a", func(State) { evicted["stalled"] = true }), a.Open("b", func(State) { evicted["progressing"] = true })
	fill(stalled, 12<<20, now)
	now = now.Add(stallTime)
	fill(progressing, 12<<20, now)
	third := a.Open("c", nil)
	if !fill(third, 14<<20, now) || !evicted["stalled"] || evicted["progressing"] {
		t.Errorf("evicted: %v", evicted)
	}
	if stalled.Grow(1, now) || stalled.SetState(Running, now) {
		t.Error("a withdrawn grant is still in use")
	}
	for _, g := range []*Grant{stalled, progressing, third} {
		g.Close()
	}
	checkEmpty(t, a)
}

// TestRunningGrantsAreKept guards against withdrawing the memory of calls that may have reached a target.
func TestRunningGrantsAreKept(t *testing.T) {
	a, now := newAccount(), time.Now()
	running := a.Open("a", func(State) { t.Error("the grant was withdrawn") })
	if !fill(running, 20<<20, now) {
		t.Fatal("the first body was refused")
	}
	running.SetState(Running, now)
	other := a.Open("b", nil)
	if fill(other, 20<<20, now.Add(time.Minute)) {
		t.Error("more than the budget was granted")
	}
	if !a.Open("c", nil).Grow(SmallBytes, now) {
		t.Error("a small call was refused beside a large one")
	}
}

// TestNewLargeGrantsLeaveRoom guards against refusing all bodies of a crowd shortly before their end.
func TestNewLargeGrantsLeaveRoom(t *testing.T) {
	a, now := newAccount(), time.Now()
	ongoing := a.Open("b", nil)
	if !fill(a.Open("a", nil), 14<<20, now) || !fill(ongoing, 14<<20, now) {
		t.Fatal("the first bodies were refused")
	}
	if a.Open("c", nil).Grow(SmallBytes+1, now) {
		t.Error("a new body may become large when memory is short")
	}
	if !fill(ongoing, 15<<20, now) {
		t.Error("a body that is large already may not be completed")
	}
}

// TestOneAddressLeavesMemoryToOthers guards against one crowd that takes all memory for large bodies.
func TestOneAddressLeavesMemoryToOthers(t *testing.T) {
	a, now := newAccount(), time.Now()
	for range 100 {
		g := a.Open("crowd", nil)
		fill(g, 1<<20, now)
		g.SetState(Running, now)
	}
	if a.largeByCaller["crowd"] > int64(callerShare*float64(largeLimit(testBudget))) {
		t.Errorf("one address holds %d bytes", a.largeByCaller["crowd"])
	}
	if !fill(a.Open("other", nil), 4<<20, now) {
		t.Error("another address gets no memory")
	}
}

// TestLeaksUnderRandomUse opens, grows and closes grants in random order and counts the bytes that are left.
func TestLeaksUnderRandomUse(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	a, now := newAccount(), time.Now()
	var grants []*Grant
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
		switch i := rng.IntN(max(1, len(grants))); {
		case len(grants) < 5 || len(grants) < 60 && rng.IntN(3) == 0:
			grants = append(grants, a.Open(fmt.Sprint(rng.IntN(4)), nil))
		case rng.IntN(4) == 0:
			grants[i].Close()
			grants = slices.Delete(grants, i, i+1)
		case rng.IntN(4) == 0:
			grants[i].SetState(State(rng.IntN(3)), now)
		default:
			grants[i].Grow(int64(rng.IntN(2<<20)), now)
		}
		if s := a.Stats(); s.Held < 0 || s.Held > testBudget {
			t.Fatalf("%d bytes are held", s.Held)
		}
	}
	for _, g := range grants {
		g.Close()
	}
	checkEmpty(t, a)
}

// TestOneBodyFitsEverywhere guards against defaults that a single caller within the configuration's limits reaches.
func TestOneBodyFitsEverywhere(t *testing.T) {
	for _, memoryMB := range []int{64, 136, 206, 536} {
		a := &Account{Budget: func() int64 { return Budget(memoryMB) }}
		g := a.Open("a", nil)
		for held := 0; held < 4<<20; held += SmallBytes {
			if !g.Grow(SmallBytes, time.Now()) {
				t.Errorf("%d MB: a body of 4 MiB was refused at %d bytes, the budget is %d", memoryMB, held, Budget(memoryMB))
				break
			}
		}
	}
}
