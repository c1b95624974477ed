package admission

// ramp is the request limit of an upstream in cold start. Completed requests raise it, and so does a report that an upstream
// which was warmed up under a former owner is not cold. Time alone does not, because it does not show that an idle upstream
// is warm.
type ramp struct {
	limit int
	// completed counts the requests completed since the limit last changed.
	completed int
	// warm is set once the upstream has completed rampCompletionsPerSlot requests per slot with its limit at its slots.
	warm bool
	// firstAssignment is the id of the first assignment after the last reset. Earlier assignments do not count.
	firstAssignment uint64
}

// reset restarts the ramp at the cold limit.
func (r *ramp) reset(coldSlots int, nextAssignment uint64) {
	*r = ramp{limit: max(1, coldSlots), firstAssignment: nextAssignment}
}

// addCompletion counts a completed request and raises the limit if enough requests were completed.
func (r *ramp) addCompletion(assignment uint64, slots int) {
	if assignment < r.firstAssignment || r.warm {
		return
	}
	r.completed++
	if r.completed < rampCompletionsPerSlot*r.limit {
		return
	}
	r.completed = 0
	if r.limit < slots {
		r.limit++
	} else {
		r.warm = true
	}
}

// extend continues a completed ramp if the upstream now has more slots than its limit.
func (r *ramp) extend(slots int) {
	r.warm = r.warm && r.limit >= slots
}

// raiseToSlots raises the limit to the slots, for an upstream that was warmed up under a former owner.
func (r *ramp) raiseToSlots(slots int) {
	r.limit, r.completed = max(r.limit, slots), 0
}
