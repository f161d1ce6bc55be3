/** gRPC server of a node, with typed handlers. */
import {
  Server,
  ServerCredentials,
  ServerWritableStream,
  UntypedServiceImplementation,
  handleUnaryCall,
} from '@grpc/grpc-js';
import type {ListenAddress} from '@sassafrasspan/runtime';
import {SERVER_OPTIONS} from './channel_options';
import {
  AcknowledgeReply,
  AcknowledgeRequest,
  AgentHeartbeat,
  AgentNodeService,
  DrainReply,
  DrainRequest,
  EntryHeartbeat,
  EntryNodeService,
  FetchRulesReply,
  FetchRulesRequest,
  FetchWeightsRequest,
  ListAnswersReply,
  ListAnswersRequest,
  OfferRulesReply,
  OfferRulesRequest,
  ResumeRequest,
  RevokeReply,
  RevokeRequest,
  RunFrame,
  RunRequest,
  StepCall,
  StepReply,
  WatchRequest,
  WeightsChunk,
} from './generated/nodes';

/** Writes the messages of a server stream. */
export interface MessageWriter<T> {
  /** Sends a message; ignored after the stream has closed. */
  send(message: T): void;
  /** Ends the stream. */
  end(): void;
  /**
   * Adds a listener that is called once the stream has ended or the peer has
   * disconnected; at once if that has already happened.
   */
  addCloseListener(listener: () => void): void;
}

/** Handlers of the gRPC service `AgentNode`, which entries call. */
export interface AgentHandlers {
  run(request: RunRequest, writer: MessageWriter<RunFrame>): void;
  /** Streams a stored answer again from an offset, without a second run. */
  resume(request: ResumeRequest, writer: MessageWriter<RunFrame>): void;
  /** Prevents a request from starting, or reports that it has started. */
  revoke(request: RevokeRequest): RevokeReply;
  /** Releases a stored answer, or cancels a run that has not finished. */
  acknowledge(request: AcknowledgeRequest): AcknowledgeReply;
  /** Lists stored answers by request id prefix, for a step's new owner. */
  listAnswers(request: ListAnswersRequest): ListAnswersReply;
  watch(request: WatchRequest, writer: MessageWriter<AgentHeartbeat>): void;
  fetchRules(request: FetchRulesRequest): FetchRulesReply;
  offerRules(request: OfferRulesRequest): OfferRulesReply;
  fetchWeights(
    request: FetchWeightsRequest,
    writer: MessageWriter<WeightsChunk>,
  ): void;
  drain(request: DrainRequest): DrainReply;
}

/** Handlers of the gRPC service `EntryNode`, which other entries call. */
export interface EntryHandlers {
  watch(request: WatchRequest, writer: MessageWriter<EntryHeartbeat>): void;
  fetchRules(request: FetchRulesRequest): FetchRulesReply;
  /** Handles a trainer's call that another entry forwards to the step's owner. */
  forwardStep(call: StepCall): Promise<StepReply>;
}

/** Server for calls of other nodes. */
export class NodeServer {
  private constructor(private readonly server: Server) {}

  static createAgent(handlers: AgentHandlers): NodeServer {
    const implementation: UntypedServiceImplementation = {
      run: adaptStream(handlers.run),
      resume: adaptStream(handlers.resume),
      revoke: adaptUnary(handlers.revoke),
      acknowledge: adaptUnary(handlers.acknowledge),
      listAnswers: adaptUnary(handlers.listAnswers),
      watch: adaptStream(handlers.watch),
      fetchRules: adaptUnary(handlers.fetchRules),
      offerRules: adaptUnary(handlers.offerRules),
      fetchWeights: adaptStream(handlers.fetchWeights),
      drain: adaptUnary(handlers.drain),
    };
    const server = new Server(SERVER_OPTIONS);
    server.addService(AgentNodeService, implementation);
    return new NodeServer(server);
  }

  static createEntry(handlers: EntryHandlers): NodeServer {
    const implementation: UntypedServiceImplementation = {
      watch: adaptStream(handlers.watch),
      fetchRules: adaptUnary(handlers.fetchRules),
      forwardStep: adaptUnary(handlers.forwardStep),
    };
    const server = new Server(SERVER_OPTIONS);
    server.addService(EntryNodeService, implementation);
    return new NodeServer(server);
  }

  /** Starts listening; returns the bound address with the actual port. */
  listen(address: ListenAddress): Promise<ListenAddress> {
    return new Promise((resolve, reject) => {
      const target = `${address.host}:${address.port}`;
      const insecure = ServerCredentials.createInsecure();
      this.server.bindAsync(target, insecure, (error, port) => {
        if (error === null) resolve({host: address.host, port});
        else reject(error);
      });
    });
  }

  /** Stops accepting calls; resolves when the last one has ended. */
  close(): Promise<void> {
    return new Promise(resolve => this.server.tryShutdown(() => resolve()));
  }

  /** Cancels all calls and closes the server. */
  destroy(): void {
    this.server.forceShutdown();
  }
}

/** Wraps a handler as a gRPC unary call handler. */
function adaptUnary<Q, R>(
  handler: (request: Q) => R | Promise<R>,
): handleUnaryCall<Q, R> {
  return (call, done) => {
    Promise.resolve()
      .then(() => handler(call.request))
      .then(reply => done(null, reply))
      .catch((error: Error) => done(error, null));
  };
}

/** Wraps a handler as a gRPC server stream handler. */
function adaptStream<Q, R>(
  handler: (request: Q, writer: MessageWriter<R>) => void,
): (call: ServerWritableStream<Q, R>) => void {
  return call => handler(call.request, createWriter(call));
}

function createWriter<Q, R>(
  call: ServerWritableStream<Q, R>,
): MessageWriter<R> {
  const listeners: Array<() => void> = [];
  let isClosed = false;
  const closeOnce = () => {
    if (isClosed) return;
    isClosed = true;
    for (const listener of listeners) listener();
  };
  call.on('cancelled', closeOnce);
  call.on('error', closeOnce);
  return {
    send: message => {
      if (!isClosed) call.write(message);
    },
    end: () => {
      if (isClosed) return;
      call.end();
      closeOnce();
    },
    addCloseListener: listener => {
      if (isClosed) listener();
      else listeners.push(listener);
    },
  };
}
