package relayer

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/reserver"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/relaypb"
)

// Dispatcher serves calls that other entries relayed.
type Dispatcher interface {
	// AcceptRelayed decides whether a call of a service is served. It returns the refusal if not.
	AcceptRelayed(service string, trafficVersion uint64) *sequoiasill.Failure
	ServeRelayed(ctx context.Context, call *sequoiasill.Call, runs int, reply dispatcher.RelayWriter)
}

// maxCallDelay is how long after the acceptance of its offer a call is served. The entry that sent
// one which comes later may have been suspended, or this one.
const maxCallDelay = sequoiasill.Second

// Server serves calls that other entries relayed, until Close.
type Server struct {
	relaypb.UnimplementedRelayServer

	dispatcher Dispatcher
	memory     Memory
	clock      sequoiasill.Clock
	log        hclog.Logger
	server     *grpc.Server
}

const (
	// maxMetadataBytes bounds the metadata of a stream, which other entries write. gRPC allows 16 MB.
	maxMetadataBytes = 8 << 10
	// maxStreams bounds the streams of one connection, that is of one entry: twice the relayed calls that an
	// entry serves at a time.
	maxStreams = 512
	// streamWindowBytes bounds what is received of a call before it is reserved and read. gRPC otherwise
	// lets it grow to 16 MB.
	streamWindowBytes = 64 << 10
)

// NewServer serves calls on l. Copies of calls are reserved in memory.
func NewServer(l net.Listener, d Dispatcher, memory Memory, clock sequoiasill.Clock, log hclog.Logger) *Server {
	s := &Server{dispatcher: d, memory: memory, clock: clock, log: log.Named("relayer")}
	s.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxHeaderListSize(maxMetadataBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.StaticStreamWindowSize(streamWindowBytes))
	relaypb.RegisterRelayServer(s.server, s)
	go func() {
		if err := s.server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			s.log.Error("serving calls of other entries ended", "error", err)
		}
	}()
	return s
}

// Shutdown waits for the calls in progress, at most for timeout, and closes the server.
func (s *Server) Shutdown(timeout sequoiasill.Millis) {
	timer := time.AfterFunc(timeout.Duration(), s.server.Stop)
	defer timer.Stop()
	s.server.GracefulStop()
}

// Close closes the server.
func (s *Server) Close() { s.server.Stop() }

// Serve implements relaypb.RelayServer.
func (s *Server) Serve(stream relaypb.Relay_ServeServer) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := r.GetOffer()
	if offer == nil {
		return status.Error(codes.InvalidArgument, "no offer")
	}
	if f := s.dispatcher.AcceptRelayed(offer.GetService(), offer.GetTrafficVersion()); f != nil {
		return stream.Send(encodeRefusal(f, 0, 0))
	}
	size, announced := announcedSize(stream.Context())
	release, ok := s.memory.Hold(copiesOfCall * size)
	if !ok {
		return stream.Send(encodeRefusal(noMemory(), 0, 0))
	}
	defer release()
	acceptedAt := s.clock.Now()
	if err := stream.Send(&relaypb.ServeResponse{Part: &relaypb.ServeResponse_Accepted{Accepted: &relaypb.Accepted{}}}); err != nil {
		return err
	}
	if r, err = stream.Recv(); err != nil {
		return err
	}
	call := r.GetCall()
	if call == nil {
		return status.Error(codes.InvalidArgument, "no call")
	}
	now := s.clock.Now()
	if now-acceptedAt > maxCallDelay {
		return stream.Send(encodeRefusal(sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeNoUpstream, http.StatusServiceUnavailable,
			"call came %s after its offer was accepted", now-acceptedAt), int(call.GetRuns()), 0))
	}
	if !announced {
		// The call takes more than was assumed.
		more, ok := s.memory.Hold(int64(len(call.GetBody())))
		if !ok {
			return stream.Send(encodeRefusal(noMemory(), int(call.GetRuns()), 0))
		}
		defer more()
	}
	w := &writer{stream: stream}
	s.serve(stream.Context(), call, now, w)
	if w.aborted {
		stream.SetTrailer(metadata.Pairs(runsTrailer, strconv.Itoa(w.runs)))
		return status.Error(codes.Aborted, "response broke off")
	}
	return nil
}

// assumedSize is the size of a call in bytes of which the other entry announces none, as earlier builds do.
// Most calls are smaller; what the call takes is reserved once it has come.
const assumedSize = 32 << 10

// announcedSize returns the size of the call that follows an offer, in bytes, and whether the other entry
// announced it.
func announcedSize(ctx context.Context) (int64, bool) {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, v := range md.Get(sizeKey) {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			return min(n, maxMessageBytes), true
		}
	}
	return assumedSize, false
}

// noMemory returns the refusal of a call for which there is no memory. It has not run here.
func noMemory() *sequoiasill.Failure {
	return sequoiasill.NewFailure(sequoiasill.NotRun, sequoiasill.CodeOverloaded, http.StatusServiceUnavailable, "entry holds too many calls").WithRetryAfter(reserver.RetryAfter)
}

// serve serves a call. A panic, which gRPC would let end the process, is reported as a failure of a
// call that may have run.
func (s *Server) serve(ctx context.Context, call *relaypb.Call, now sequoiasill.Millis, w *writer) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		s.log.Error("panic while serving a request", "request", call.GetId(), "cause", "panic", "panic", v, "stack", string(debug.Stack()))
		if w.started {
			w.Abort()
			return
		}
		w.SetCounts(max(w.runs, int(call.GetRuns())+1), w.arrivals)
		w.Refuse(sequoiasill.NewFailure(sequoiasill.MayHaveRun, sequoiasill.CodeOutcomeUnknown, http.StatusBadGateway, "failed while serving the request"))
	}()
	s.dispatcher.ServeRelayed(ctx, decodeCall(call, now), int(call.GetRuns()), w)
}

// maxDataBytes bounds the size of a message with a part of a body.
const maxDataBytes = 256 << 10

// writer implements dispatcher.RelayWriter.
type writer struct {
	stream  relaypb.Relay_ServeServer
	aborted bool
	started bool // part of the response may have been sent
	runs    int
	// arrivals is the number of upstreams that received the call from this entry.
	arrivals int
}

// SetCounts implements dispatcher.RelayWriter.
func (w *writer) SetCounts(runs, arrivals int) { w.runs, w.arrivals = runs, arrivals }

func (w *writer) sendHead(code int, header http.Header, events bool) error {
	w.started = true
	return w.stream.Send(&relaypb.ServeResponse{Part: &relaypb.ServeResponse_Head{Head: &relaypb.Head{Status: int32(code), Header: encodeHeader(header), EventStream: events, Runs: int32(w.runs)}}})
}

// SendWhole implements dispatcher.ResponseWriter.
func (w *writer) SendWhole(code int, header http.Header, body []byte) error {
	if err := w.sendHead(code, header, false); err != nil {
		return errors.Annotate(err, "send head")
	}
	if err := w.Write(body); err != nil {
		return err
	}
	return w.End()
}

// Refuse implements dispatcher.ResponseWriter.
func (w *writer) Refuse(f *sequoiasill.Failure) {
	w.started = true
	if err := w.stream.Send(encodeRefusal(f, w.runs, w.arrivals)); err != nil {
		w.aborted = true
	}
}

// Begin implements dispatcher.ResponseWriter.
func (w *writer) Begin(code int, header http.Header) error {
	return errors.Annotate(w.sendHead(code, header, true), "send head")
}

// Write implements dispatcher.ResponseWriter.
func (w *writer) Write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), maxDataBytes)
		if err := w.stream.Send(&relaypb.ServeResponse{Part: &relaypb.ServeResponse_Data{Data: b[:n]}}); err != nil {
			return errors.Annotate(err, "send data")
		}
		b = b[n:]
	}
	return nil
}

// End implements dispatcher.ResponseWriter.
func (w *writer) End() error {
	return errors.Annotate(w.stream.Send(&relaypb.ServeResponse{Part: &relaypb.ServeResponse_End{End: &relaypb.End{Runs: int32(w.runs)}}}), "send end")
}

// Abort implements dispatcher.ResponseWriter.
func (w *writer) Abort() { w.aborted = true }
