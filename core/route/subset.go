package route

// Place is a name in a failure domain: a target or an instance.
type Place struct {
	Name   string
	Domain string
}

// Spread returns up to size names for a key, taken in turn from the failure domains in rendezvous order, the preferred domain first.
func Spread(key, preferred string, places []Place, size int) []string {
	byDomain := make(map[string][]string)
	var domains []string
	for _, p := range places {
		if _, ok := byDomain[p.Domain]; !ok {
			domains = append(domains, p.Domain)
		}
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Name)
	}
	domains = preferredFirst(Rank(key, domains), preferred)
	for _, d := range domains {
		byDomain[d] = Rank(key, byDomain[d])
	}
	var chosen []string
	for round := 0; len(chosen) < min(size, len(places)); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) && len(chosen) < size {
				chosen = append(chosen, byDomain[d][round])
			}
		}
	}
	return chosen
}

// preferredFirst moves the preferred domain to the front.
func preferredFirst(domains []string, preferred string) []string {
	ordered := make([]string, 0, len(domains))
	for _, d := range domains {
		if d == preferred {
			ordered = append([]string{d}, ordered...)
			continue
		}
		ordered = append(ordered, d)
	}
	return ordered
}
