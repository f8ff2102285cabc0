package beechbody

const (
	// headShare of a process's memory, one part is for heads that are being received. They are held several
	// times while they are read and parsed.
	headShare = 64
	// unreadShare of it, one part is for bytes that callers send behind requests that are being served, and
	// one for those of callers that wait to be served.
	unreadShare = 16

	// The defaults apply where the memory is not known.
	defaultHeadMemory   = 8 << 20
	defaultUnreadMemory = 32 << 20

	megabyte = 1 << 20
)

// HeadMemory returns the bytes that heads which are being received may take together, in a process with so
// many megabytes (0: not known) that accepts heads of a largest size.
func HeadMemory(megabytes, largest int) int {
	if megabytes == 0 {
		return defaultHeadMemory
	}
	return max(megabytes*megabyte/headShare, 2*largest)
}

// UnreadMemory returns the bytes that callers may send behind requests that are being served, or before
// they are.
func UnreadMemory(megabytes int) int {
	if megabytes == 0 {
		return defaultUnreadMemory
	}
	return megabytes * megabyte / unreadShare
}
