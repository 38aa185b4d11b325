package drainer

import "net/http"

// responseWriter makes the answers of a retired server close their connections, also those to
// requests that were open when it was retired.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	// conn is the connection, nil if it is unknown.
	conn *conn
	// headerWritten is true once the header can no longer be changed.
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headerWritten {
		w.headerWritten = true
		// http.MaxBytesReader, which closes the connection below a body that is too large,
		// does not see through the wrapper. Without it net/http reads the rest of the body
		// before it answers. The same holds for the body of a refused request.
		if w.server.retired.Load() || status == http.StatusRequestEntityTooLarge || w.conn != nil && w.conn.refusal() != nil {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
