package radishlog

// ErrorText returns the text of err or, if it is nil, an empty string. It is meant for log lines that are written on
// success and on failure.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
