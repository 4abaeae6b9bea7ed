package radish

import "github.com/cespare/xxhash/v2"

// RendezvousScore returns the rendezvous hash of a member and a key; the member with the highest score owns the key.
func RendezvousScore(member, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// RendezvousOwners returns up to n members with the highest scores for the key, highest first.
func RendezvousOwners(members []string, key string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, m := range members {
		s := scored{name: m, score: RendezvousScore(m, key)}
		i := len(best)
		for i > 0 && best[i-1].score < s.score {
			i--
		}
		if i >= n {
			continue
		}
		best = append(best, scored{})
		copy(best[i+1:], best[i:])
		best[i] = s
		if len(best) > n {
			best = best[:n]
		}
	}
	owners := make([]string, len(best))
	for i, s := range best {
		owners[i] = s.name
	}
	return owners
}
