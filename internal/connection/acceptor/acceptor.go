// Package acceptor serves the sessions that other nodes open. Each stream of a
// session carries one call or one request for settings.
//
// # Usage
//
//	a := acceptor.New(acceptor.Config{Executor: executor, Settings: follower.State})
//	err := a.Serve(listener)
//	a.Shutdown(ctx)
package acceptor

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/sessionizer"
	"github.com/laburnumshelf/laburnumshelf/internal/connection/translator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
	"github.com/laburnumshelf/laburnumshelf/internal/version/follower"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// badStreams counts streams that did not start with a valid stream head.
var badStreams = expvar.NewInt("badStreams")

// headTimeout limits the wait for the head of a stream, and the time to send a
// snapshot of the settings.
const headTimeout = 10 * time.Second

// Executor runs inbound calls at the local backend server.
type Executor interface {
	Execute(ctx context.Context, call *caller.Call) *caller.Answer
}

// Config holds the dependencies of an Acceptor.
type Config struct {
	Executor Executor
	Settings func() follower.State
	// Budget bounds the memory of the requests of the whole process. It may be nil.
	Budget *weigher.Budget
}

// Acceptor serves the sessions of other nodes. Its methods are safe for concurrent use.
type Acceptor struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	sessions map[*yamux.Session]*sessionizer.Conn
	// open is the number of calls whose answer is not yet written.
	open int
	// idle is closed once open is 0. It is nil before Shutdown.
	idle chan struct{}
	// running holds the functions that cancel the calls that are being served.
	running map[callKey]context.CancelFunc
}

// New returns an Acceptor.
func New(config Config) *Acceptor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Acceptor{
		config:   config,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*yamux.Session]*sessionizer.Conn),
		running:  make(map[callKey]context.CancelFunc),
	}
}

// Serve accepts connections until the listener is closed.
func (a *Acceptor) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if a.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept connection from a node")
		}
		go a.serveConn(conn)
	}
}

// minCloseTime is how long a session may take to close when the context of Shutdown is done.
const minCloseTime = 200 * time.Millisecond

// Shutdown waits until the answers of all calls are written, and closes all sessions once the peers
// have received them. When ctx is done, it cancels the calls and waits no longer. Sessions close at
// the same time because a peer that does not read delays the end of its session.
func (a *Acceptor) Shutdown(ctx context.Context) {
	select {
	case <-a.idleCalls():
	case <-ctx.Done():
	}
	a.cancel()
	var group sync.WaitGroup
	for session, conn := range a.openSessions() {
		group.Go(func() {
			closeSession(ctx, session, conn)
		})
	}
	group.Wait()
}

// closeSession closes a session until ctx is done or, if that is later, for minCloseTime.
func closeSession(ctx context.Context, session *yamux.Session, conn *sessionizer.Conn) {
	earliest := time.Now().Add(minCloseTime)
	stop := context.AfterFunc(ctx, func() {
		time.AfterFunc(time.Until(earliest), conn.Abort)
	})
	defer stop()
	session.Close()
}

func (a *Acceptor) openSessions() map[*yamux.Session]*sessionizer.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.sessions)
}

func (a *Acceptor) serveConn(accepted net.Conn) {
	conn := sessionizer.NewConn(accepted)
	session, err := yamux.Server(conn, sessionizer.Config())
	if err != nil {
		conn.Close()
		return
	}
	a.mu.Lock()
	a.sessions[session] = conn
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.sessions, session)
		a.mu.Unlock()
		session.Close()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go a.serveStream(stream)
	}
}

func (a *Acceptor) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	reader := encoder.NewStreamReader(stream)
	head := &encoder.StreamHead{}
	stream.SetReadDeadline(time.Now().Add(headTimeout))
	if err := encoder.ReadFrame(reader, head); err != nil {
		if !errors.Is(err, io.EOF) {
			badStreams.Add(1)
		}
		return
	}
	stream.SetReadDeadline(time.Time{})
	switch kind := head.GetKind().(type) {
	case *encoder.StreamHead_Call:
		if kind.Call.GetCancel() {
			a.cancelCall(kind.Call)
			return
		}
		a.serveCall(stream, reader, kind.Call)
	case *encoder.StreamHead_Settings:
		a.serveSettings(stream, kind.Settings)
	default:
		badStreams.Add(1)
	}
}

func (a *Acceptor) serveSettings(stream *yamux.Stream, request *encoder.SettingsRequest) {
	state := a.config.Settings()
	stream.SetWriteDeadline(time.Now().Add(headTimeout))
	if err := encoder.WriteFrame(stream, state.Snapshot(request.GetVersion())); err != nil {
		stream.Close()
	}
}

func (a *Acceptor) serveCall(stream *yamux.Stream, reader *bufio.Reader, head *encoder.CallHead) {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	a.beginCall(keyOf(head), cancel)
	defer a.endCall(keyOf(head))
	weight := callWeight(head)
	if !a.admit(weight, head.GetResolveOnly()) {
		if head.GetToken() == nil {
			a.writeAnswer(stream, caller.NewFailure(caller.NotRun, caller.ReasonQueueFull))
		}
		// A call with a token may be a repetition of one that runs. Without an answer, the caller
		// asks for its outcome.
		return
	}
	defer a.config.Budget.Release(weight)
	call := translator.Call(head, time.Now())
	// After the request body, the caller sends at most the byte that confirms the answer, and
	// closes the stream to cancel the call. A read after the body therefore returns only when the
	// answer was received or the call is canceled.
	received := &confirmation{}
	body := &endWatcher{
		Reader: encoder.NewBodyReader(reader),
		onEnd: func() {
			go func() {
				if last, err := reader.ReadByte(); err == nil && last == encoder.AnswerReceived {
					received.arrive()
				}
				cancel()
				// An answer that nobody reads would hold a connection to the backend server.
				stream.SetWriteDeadline(time.Now())
			}()
		},
	}
	transit := newTransit(body, a.config.Budget)
	defer transit.end()
	var err error
	if call.Body, err = caller.NewSinglePassBody(transit); err != nil {
		a.writeAnswer(stream, caller.NewFailure(caller.NotRun, caller.ReasonBodyBroken))
		return
	}
	defer call.Body.Close()
	answer := a.config.Executor.Execute(ctx, call)
	defer answer.Close()
	received.expect(answer.Received)
	a.writeAnswer(stream, answer)
}

// endWatcher calls onEnd once, when its reader returns EOF or another error.
type endWatcher struct {
	io.Reader
	once  sync.Once
	onEnd func()
}

// Read implements io.Reader.
func (e *endWatcher) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	e.once.Do(e.onEnd)
	if !errors.Is(err, io.EOF) {
		err = errors.Mark(err, caller.ErrRequestBody)
	}
	return n, err
}

// smallBodyBytes is the largest Content-Length of a body that is buffered and sent
// with one write.
const smallBodyBytes = 12 << 10

// answerWriters holds buffers that are large enough for a complete small answer.
var answerWriters = sync.Pool{
	New: func() any {
		return bufio.NewWriterSize(nil, 2*smallBodyBytes)
	},
}

// writeAnswer sends an answer with its body and trailer on stream. If reading the
// body fails, the trailer marks the body as broken.
func (a *Acceptor) writeAnswer(stream *yamux.Stream, answer *caller.Answer) {
	buffer := answerWriters.Get().(*bufio.Writer)
	buffer.Reset(stream)
	defer func() {
		buffer.Reset(nil)
		answerWriters.Put(buffer)
	}()
	if err := encoder.WriteFrame(buffer, translator.AnswerHead(answer)); err != nil {
		return
	}
	trailer := &encoder.Trailer{
		Checksum: emptyChecksum,
	}
	if answer.Body != nil {
		var err error
		if trailer, err = encoder.CopyBody(bodyWriter(buffer, answer.Header), answer.Body); err != nil {
			trailer.Broken = true
		}
	}
	trailer.Unspent = answer.UnspentAllowance()
	if encoder.WriteTrailer(buffer, trailer) == nil {
		buffer.Flush()
	}
}

// emptyChecksum is the checksum of an empty body.
var emptyChecksum = encoder.EmptyChecksum()

// bodyWriter returns the writer for a body. For a small body it is buffer itself. For
// any other it flushes each chunk, so that a slow body is forwarded as it arrives.
func bodyWriter(buffer *bufio.Writer, header http.Header) io.Writer {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err == nil && length <= smallBodyBytes {
		return buffer
	}
	return flushingWriter{
		buffer: buffer,
	}
}

// flushingWriter flushes its buffer after each write.
type flushingWriter struct {
	buffer *bufio.Writer
}

// Write implements io.Writer.
func (f flushingWriter) Write(p []byte) (int, error) {
	n, err := f.buffer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.buffer.Flush()
}
