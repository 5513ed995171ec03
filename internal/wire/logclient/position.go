package logclient

// offsetBits is the part of a position that holds the offset.
const offsetBits = 40

// maxEra is the highest era that a position holds.
const maxEra = 1<<(63-offsetBits) - 1

// Position joins an offset with the era of the store that gave it out. A store that came back from
// an older copy has a higher era and gives offsets out again, so an offset means nothing without its
// era. Positions of one store are ordered by the time at which they were given out.
//
// A store that names no era has era 0, and its positions equal its offsets.
func Position(era, offset int64) int64 {
	return min(max(era, 0), maxEra)<<offsetBits | min(max(offset, 0), 1<<offsetBits-1)
}

// SplitPosition returns the era and the offset of a position.
func SplitPosition(position int64) (era, offset int64) {
	return position >> offsetBits, position & (1<<offsetBits - 1)
}
