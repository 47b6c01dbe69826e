package capacity

import "bytes"

// KeptHeading begins the part of the page that the command does not write: figures that the users' bench has shown.
const KeptHeading = "## The roles on the users' platform\n"

// Keep returns the new page with the kept part of the old one at its end.
func Keep(old, page []byte) []byte {
	i := bytes.Index(old, []byte(KeptHeading))
	if i < 0 {
		return page
	}
	return append(append(bytes.TrimRight(page, "\n"), "\n\n"...), old[i:]...)
}
