package entry

import "time"

// watchSilence closes a connection on which nothing has arrived for idleTimeout.
// QUIC's own limit grows to three times and more what an acknowledgement took, and a
// process that was paused counts the pause. The reset of an unused stream makes a
// quiet peer acknowledge it.
func (c *Client) watchSilence(p Peer, l *link, conn *connection) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	received, arrivedAt := uint64(0), time.Now()
	for {
		select {
		case <-conn.Context().Done():
			return
		case <-tick.C:
		}
		n := conn.ConnectionStats().PacketsReceived
		if n != received {
			received, arrivedAt = n, time.Now()
			continue
		}
		if time.Since(arrivedAt) >= idleTimeout {
			c.Log.Warn().Str("peer", p.Name).Dur("round_trip_ms", conn.ConnectionStats().SmoothedRTT).Msg("silent_entry_connection_closed")
			l.forget(conn)
			_ = conn.CloseWithError(codeSilent, "silent")
			return
		}
		if st, err := conn.OpenStream(); err == nil {
			resetStream(st)
		}
	}
}

// forget makes the next call dial. It precedes the close of the connection, whose
// streams fail before its context ends.
func (l *link) forget(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}
