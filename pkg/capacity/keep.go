package capacity

import "bytes"

// ManualSectionHeading begins the part of the page that the command does not write: figures that the users' bench has shown.
const ManualSectionHeading = "## The roles on the users' platform\n"

// KeepManualSection returns the new page with the kept part of the old one at its end.
func KeepManualSection(old, page []byte) []byte {
	i := bytes.Index(old, []byte(ManualSectionHeading))
	if i < 0 {
		return page
	}
	return append(append(bytes.TrimRight(page, "\n"), "\n\n"...), old[i:]...)
}
