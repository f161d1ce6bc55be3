/** The gRPC server of a node: binds typed handlers to the protocol. */
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

/** Where a handler writes the messages of a stream. */
export interface MessageWriter<T> {
  /** Sends a message; does nothing once the peer is gone. */
  send(message: T): void;
  /** Ends the stream. */
  end(): void;
  /** Registers what runs when the peer is gone or the stream has ended. */
  addCloseListener(listener: () => void): void;
}

/** What an agent answers. */
export interface AgentHandlers {
  run(request: RunRequest, writer: MessageWriter<RunFrame>): void;
  resume(request: ResumeRequest, writer: MessageWriter<RunFrame>): void;
  revoke(request: RevokeRequest): RevokeReply;
  acknowledge(request: AcknowledgeRequest): AcknowledgeReply;
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

/** What an entry answers to other entries. */
export interface EntryHandlers {
  watch(request: WatchRequest, writer: MessageWriter<EntryHeartbeat>): void;
  fetchRules(request: FetchRulesRequest): FetchRulesReply;
  forwardStep(call: StepCall): Promise<StepReply>;
}

/** The peer-facing server of a node. */
export class NodeServer {
  private constructor(private readonly server: Server) {}

  /** Builds the server of an agent. */
  static createAgent(handlers: AgentHandlers): NodeServer {
    const implementation: UntypedServiceImplementation = {
      run: bindStream(handlers.run),
      resume: bindStream(handlers.resume),
      revoke: bindUnary(handlers.revoke),
      acknowledge: bindUnary(handlers.acknowledge),
      listAnswers: bindUnary(handlers.listAnswers),
      watch: bindStream(handlers.watch),
      fetchRules: bindUnary(handlers.fetchRules),
      offerRules: bindUnary(handlers.offerRules),
      fetchWeights: bindStream(handlers.fetchWeights),
      drain: bindUnary(handlers.drain),
    };
    const server = new Server(SERVER_OPTIONS);
    server.addService(AgentNodeService, implementation);
    return new NodeServer(server);
  }

  /** Builds the server of an entry. */
  static createEntry(handlers: EntryHandlers): NodeServer {
    const implementation: UntypedServiceImplementation = {
      watch: bindStream(handlers.watch),
      fetchRules: bindUnary(handlers.fetchRules),
      forwardStep: bindUnary(handlers.forwardStep),
    };
    const server = new Server(SERVER_OPTIONS);
    server.addService(EntryNodeService, implementation);
    return new NodeServer(server);
  }

  /** Starts to listen; returns the address in use. */
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

  /** Takes no new call and resolves when the last one has ended. */
  close(): Promise<void> {
    return new Promise(resolve => this.server.tryShutdown(() => resolve()));
  }

  /** Breaks off every call. */
  destroy(): void {
    this.server.forceShutdown();
  }
}

function bindUnary<Q, R>(
  handler: (request: Q) => R | Promise<R>,
): handleUnaryCall<Q, R> {
  return (call, done) => {
    Promise.resolve()
      .then(() => handler(call.request))
      .then(reply => done(null, reply))
      .catch((error: Error) => done(error, null));
  };
}

function bindStream<Q, R>(
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
