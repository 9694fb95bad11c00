package hedging

// maxSlotShare is the share of a model's slots up to which hedges may use them. The rest
// is for first attempts, because reports of the slots in use are up to 0.8 s old.
const maxSlotShare = 0.9

// Load is the load of a model when a hedge is considered.
type Load struct {
	Slots            int  // of all groups of the model
	InUse            int  // of these, as far as reports show
	OtherGroupHasOne bool // a group other than that of the first attempt has a free slot
	RequestWaits     bool // a first attempt waits for a slot
}

// HasRoom reports whether the load leaves room for a hedge.
func (l Load) HasRoom() bool {
	return l.OtherGroupHasOne && !l.RequestWaits && float64(l.InUse+1) <= maxSlotShare*float64(l.Slots)
}
