package route

// Place is a target or an instance and its failure domain.
type Place struct {
	Name   string
	Domain string
}

// Spread returns up to size names for a key, taken from the failure domains in turn: the preferred domain first, the
// others in rendezvous order.
func Spread(key, preferred string, places []Place, size int) []string {
	namesByDomain := make(map[string][]string)
	var domains []string
	for _, p := range places {
		if _, ok := namesByDomain[p.Domain]; !ok {
			domains = append(domains, p.Domain)
		}
		namesByDomain[p.Domain] = append(namesByDomain[p.Domain], p.Name)
	}
	domains = moveToFront(Rank(key, domains), preferred)
	for _, d := range domains {
		namesByDomain[d] = Rank(key, namesByDomain[d])
	}
	var chosen []string
	for round := 0; len(chosen) < min(size, len(places)); round++ {
		for _, d := range domains {
			if round < len(namesByDomain[d]) && len(chosen) < size {
				chosen = append(chosen, namesByDomain[d][round])
			}
		}
	}
	return chosen
}

// moveToFront returns the domains with the preferred one first, if it is among them.
func moveToFront(domains []string, preferred string) []string {
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
