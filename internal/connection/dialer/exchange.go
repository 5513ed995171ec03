package dialer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/net/http/httpguts"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/translator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// cancelTimeout limits the sending of a message that cancels a call.
const cancelTimeout = time.Second

// sendCancel tells the target's node that a call has ended whose body is not sent. That node reads the
// stream of the call only as fast as the backend server takes the body, so it does not learn from it.
func sendCancel(p *peer, call *caller.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	stream, _, err := p.open(ctx, false)
	if err != nil {
		return
	}
	defer stream.Close()
	stream.SetWriteDeadline(time.Now().Add(cancelTimeout))
	encoder.WriteFrame(stream, &encoder.StreamHead{
		Kind: &encoder.StreamHead_Call{
			Call: translator.CancelHead(call),
		},
	})
}

// exchange sends the call on a new stream and returns its answer. Closing the
// answer's body closes the stream. cancel is called if ctx ends while the body is being sent.
func exchange(ctx context.Context, stream *yamux.Stream, call *caller.Call, cancel func()) (*caller.Answer, error) {
	bodySent := &atomic.Bool{}
	// Closing the stream unblocks reads and writes and cancels the call at the
	// target's node.
	stop := context.AfterFunc(ctx, func() {
		stream.Close()
		stream.SetDeadline(time.Unix(1, 0))
		if !bodySent.Load() && call.Token == nil {
			cancel()
		}
	})
	answer, err := roundTrip(stream, call, bodySent)
	if ctx.Err() != nil && !readArrived(stream, answer, err) {
		// The answer that has arrived, if any, may itself only report the cancellation.
		err = errors.CombineErrors(ctx.Err(), err)
	}
	if err != nil {
		stop()
		stream.Close()
		return nil, err
	}
	if answer.Body == nil {
		stop()
		stream.Close()
		return answer, nil
	}
	answer.Body = &streamBody{
		Reader: answer.Body,
		close: func() error {
			stop()
			return stream.Close()
		},
	}
	return answer, nil
}

// readArrived reads the body of a backend server's answer as far as it has arrived, and reports
// whether it is whole. err is the error of the round trip.
func readArrived(stream *yamux.Stream, answer *caller.Answer, err error) bool {
	if err != nil || answer.Body == nil {
		return false
	}
	stream.SetReadDeadline(time.Unix(1, 0))
	content, err := io.ReadAll(answer.Body)
	answer.Body = io.NopCloser(bytes.NewReader(content))
	return err == nil
}

// roundTrip sends the call and reads the answer up to its body. It sets bodySent once the request
// body was sent.
func roundTrip(stream *yamux.Stream, call *caller.Call, bodySent *atomic.Bool) (*caller.Answer, error) {
	head := &encoder.StreamHead{
		Kind: &encoder.StreamHead_Call{
			Call: translator.CallHead(call, time.Now()),
		},
	}
	// The answer, for example a refusal, may arrive before a large body is sent.
	sent := make(chan error, 1)
	if call.Body.Size() >= 0 {
		if err := sendBuffered(stream, head, call.Body); err != nil {
			return nil, errors.Wrap(err, "send call")
		}
		bodySent.Store(true)
		sent <- nil
	} else {
		if err := encoder.WriteFrame(stream, head); err != nil {
			return nil, errors.Wrap(err, "send call")
		}
		go func() {
			err := sendBody(stream, call.Body)
			bodySent.Store(err == nil)
			sent <- err
		}()
	}
	reader := encoder.NewStreamReader(arrivedReader{stream})
	answerHead := &encoder.AnswerHead{}
	err := encoder.ReadFrame(reader, answerHead)
	if err != nil {
		return nil, preferBodyError(err, sent)
	}
	answer := translator.Answer(answerHead)
	body := encoder.NewBodyReader(reader)
	if answer.Outcome != caller.Answered {
		return answer, readFailureTrailer(answer, body)
	}
	if err := checkHead(answer); err != nil {
		return nil, err
	}
	answer.Body = io.NopCloser(body)
	if call.Token != nil {
		answer.Received = func() {
			confirm(stream, sent)
		}
	}
	answer.Unspent = func() uint32 {
		return body.Trailer().GetUnspent()
	}
	return answer, nil
}

// arrivedReader reads what has arrived on a stream also after its deadline. When data and the
// deadline come together, the first Read may report either.
type arrivedReader struct {
	stream *yamux.Stream
}

// Read implements io.Reader.
func (a arrivedReader) Read(p []byte) (int, error) {
	n, err := a.stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) {
		return a.stream.Read(p)
	}
	return n, err
}

// checkHead returns an error if an answer can't be one of a backend server. Nodes of older versions
// pass such answers on.
func checkHead(answer *caller.Answer) error {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return errors.Newf("answer has status %03d, want 200 to 599", answer.Status)
	}
	for name := range answer.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("answer has the header %q, which is no name", name)
		}
	}
	return nil
}

// confirm tells the target's node that the answer was received, with one byte after the request
// body. It sends nothing if the body was not sent to its end.
func confirm(stream *yamux.Stream, sent <-chan error) {
	select {
	case err := <-sent:
		if err == nil {
			stream.Write([]byte{encoder.AnswerReceived})
		}
	default:
	}
}

// callBuffers holds the buffers of sendBuffered.
var callBuffers = sync.Pool{
	New: func() any {
		return &bytes.Buffer{}
	},
}

// sendBuffered sends a call whose complete body is in memory, with one write.
func sendBuffered(stream *yamux.Stream, head *encoder.StreamHead, body *caller.Body) error {
	buffer := callBuffers.Get().(*bytes.Buffer)
	defer callBuffers.Put(buffer)
	buffer.Reset()
	if err := encoder.WriteFrame(buffer, head); err != nil {
		return err
	}
	trailer, err := encoder.CopyBody(buffer, body.Reader())
	if err != nil {
		return err
	}
	if err := encoder.WriteTrailer(buffer, trailer); err != nil {
		return err
	}
	_, err = stream.Write(buffer.Bytes())
	return err
}

// preferBodyError returns the error of the caller's request body if there is one,
// because it caused err, the error of reading the answer. Otherwise it wraps err.
func preferBodyError(err error, sent <-chan error) error {
	select {
	case sendErr := <-sent:
		if errors.Is(sendErr, caller.ErrRequestBody) {
			return sendErr
		}
	default:
	}
	return errors.Wrap(err, "receive answer")
}

// readFailureTrailer reads the empty body of an answer without a response of the
// backend server, because the trailer after it holds the unspent allowance.
func readFailureTrailer(answer *caller.Answer, body *encoder.BodyReader) error {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	answer.Unspent = func() uint32 {
		return body.Trailer().GetUnspent()
	}
	return nil
}

// sendBody sends a request body and its trailer. If reading the body fails, the trailer
// marks it as broken.
func sendBody(stream *yamux.Stream, body *caller.Body) error {
	trailer, err := encoder.CopyBody(stream, body.Reader())
	if err != nil {
		trailer.Broken = true
		if errors.Is(err, encoder.ErrBodyBroken) {
			err = errors.Mark(err, caller.ErrRequestBody)
		}
	}
	return errors.CombineErrors(err, encoder.WriteTrailer(stream, trailer))
}

// streamBody is an answer body. Its Close closes the stream.
type streamBody struct {
	io.Reader
	close func() error
}

// Close implements io.Closer.
func (s *streamBody) Close() error {
	return s.close()
}
