package membudget

const (
	// headLineBytes and headByteFactor are the memory that a parsed HTTP head takes for each of its lines and bytes: an entry of a map
	// that grows by doubling, a string and a slice for each line, and the head as it is forwarded.
	headLineBytes  = 200
	headByteFactor = 3
)

// HeadMemory returns the memory in bytes of a parsed HTTP head with the given number of lines and bytes.
func HeadMemory(lines, bytes int) int64 {
	return headByteFactor*int64(bytes) + headLineBytes*int64(lines)
}
