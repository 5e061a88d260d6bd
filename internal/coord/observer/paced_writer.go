package observer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

const (
	pieceBytes   = 16 << 10         // maximum size of one write
	writeTimeout = 10 * time.Second // a watcher that doesn't read a piece for this long is disconnected
)

// pacedWriter writes lines to one watcher at a limited rate, in pieces.
type pacedWriter struct {
	to             http.ResponseWriter
	control        *http.ResponseController
	bytesPerSecond int
	freeAt         time.Duration // instant of clock.Now from which the next piece may be written
}

func newPacedWriter(to http.ResponseWriter, bytesPerSecond int) *pacedWriter {
	return &pacedWriter{to: to, control: http.NewResponseController(to), bytesPerSecond: bytesPerSecond}
}

// begin removes the server's read deadline, which would end the watch, and sends the response
// header.
func (p *pacedWriter) begin() error {
	if err := p.control.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("remove the read deadline: %w", err)
	}
	return p.control.Flush()
}

// writeLine writes an update as a line, not faster than the rate, until ctx ends.
func (p *pacedWriter) writeLine(ctx context.Context, update protocol.Update) error {
	line, err := json.Marshal(update)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	for len(line) > 0 {
		piece := line[:min(len(line), pieceBytes)]
		line = line[len(piece):]
		if err := p.writePiece(ctx, piece); err != nil {
			return err
		}
	}
	return nil
}

func (p *pacedWriter) writePiece(ctx context.Context, piece []byte) error {
	if wait := p.freeAt - clock.Now(); wait > 0 && !clock.Sleep(ctx, wait) {
		return ctx.Err()
	}
	if err := p.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set the write deadline: %w", err)
	}
	if _, err := p.to.Write(piece); err != nil {
		return err
	}
	if err := p.control.Flush(); err != nil {
		return err
	}
	cost := time.Duration(len(piece)) * time.Second / time.Duration(p.bytesPerSecond)
	p.freeAt = max(p.freeAt, clock.Now()) + cost
	return nil
}
