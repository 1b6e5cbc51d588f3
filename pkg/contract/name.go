package contract

// AllowedName describes the names that ValidName accepts.
const AllowedName = "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"

// maxNameLength is the maximum length of a DNS label, so that operators can use names in host names.
const maxNameLength = 63

// ValidName reports whether text is a valid name of a service, zone or backend server.
// Names are parts of store keys, so a name with a "/" could refer to the key of another record.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameLength || !alphanumeric(text[0]) {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if !alphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
