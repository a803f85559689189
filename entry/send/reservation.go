package send

// Reservation holds the retry that is counted for the next attempt of a request. One goroutine uses it.
type Reservation struct {
	sender  *Sender
	service string
	held    bool
}

// NewReservation returns a reservation without a retry, for a request to a service.
func (s *Sender) NewReservation(service string) *Reservation {
	return &Reservation{sender: s, service: service}
}

// Reserve counts a retry unless one is held, and reports whether one is. It is not if the bound on retries is reached.
func (r *Reservation) Reserve() bool {
	r.held = r.held || r.sender.Repeat(r.service)
	return r.held
}

// Take hands the retry over to an attempt, and reports whether there was one.
func (r *Reservation) Take() bool {
	taken := r.held
	r.held = false
	return taken
}

// Restore keeps the retry of an attempt that did not reach its target for the next one; taken is the result of Take.
func (r *Reservation) Restore(taken bool) {
	r.held = r.held || taken
}

// Return takes back a retry that was counted and is not sent.
func (r *Reservation) Return() {
	if r.Take() {
		r.sender.Unrepeat(r.service)
	}
}
