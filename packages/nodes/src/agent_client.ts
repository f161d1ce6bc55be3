/**
 * An entry's connection to one agent.
 *
 * Streams are watched for silence: when neither a frame nor an `Alive`
 * arrives in time, the stream counts as lost even if the connection looks
 * open. Resumptions use a connection of their own.
 */
import {ClientReadableStream, Metadata, credentials} from '@grpc/grpc-js';
import {ServiceError, createError} from '@sassafrasspan/core';
import {describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {CHANNEL_OPTIONS} from './channel_options';
import {
  AcknowledgeReply,
  AgentHeartbeat,
  AgentNodeClient,
  FetchRulesReply,
  FetchWeightsRequest,
  KeptAnswer,
  OfferRulesReply,
  OfferRulesRequest,
  ResumeRequest,
  RevokeReply,
  RevokeRequest,
  RunFrame,
  RunRequest,
  WatchRequest,
  WeightsChunk,
} from './generated/nodes';

/** Interval between `Alive` frames of an idle run. */
export const ALIVE_INTERVAL_MS = 500;
/** A stream without a frame for this long is lost. */
export const SILENCE_TIMEOUT_MS = 2_000;
const SILENCE_REASON = 'silent';
const UNARY_TIMEOUT_MS = 1_500;

/** Takes the messages of a stream until it is lost or ends. */
export interface StreamListener<T> {
  receiveMessage(message: T): void;
  /** Called once, unless the stream was cancelled. */
  handleLoss(reason: string): void;
}

/** A stream that can be given up. */
export interface StreamHandle {
  cancel(): void;
  /** Takes no more messages for now; a paused stream is not silent. */
  pause(): void;
  /** Takes messages again. */
  resume(): void;
}

/** Handle of a stream that is not open. */
export const CLOSED_STREAM: StreamHandle = {
  cancel: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** An attempt as one entry follows it. */
export interface EntryAttempt {
  readonly attempt: number;
  readonly entry: string;
}

/** What an entry can ask of an agent. */
export interface AgentPeer {
  startRun(
    request: RunRequest,
    listener: StreamListener<RunFrame>,
  ): StreamHandle;
  resumeRun(
    request: ResumeRequest,
    listener: StreamListener<RunFrame>,
  ): StreamHandle;
  revokeRun(request: RevokeRequest): Promise<Result<RevokeReply, ServiceError>>;
  acknowledgeRun(requestId: string, cancel: boolean, run?: EntryAttempt): void;
  listAnswers(prefix: string): Promise<Result<KeptAnswer[], ServiceError>>;
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
  /** Fetches one block of weights that the agent keeps. */
  fetchWeights(
    request: FetchWeightsRequest,
  ): Promise<Result<WeightsChunk, ServiceError>>;
  offerRules(
    request: OfferRulesRequest,
  ): Promise<Result<OfferRulesReply, ServiceError>>;
  watch(
    request: WatchRequest,
    listener: StreamListener<AgentHeartbeat>,
  ): StreamHandle;
  close(): void;
}

/** Agent over gRPC. */
export class AgentClient implements AgentPeer {
  private constructor(
    readonly address: string,
    private client: AgentNodeClient,
  ) {}

  /** Builds a client for `host:port`. */
  static create(address: string): AgentClient {
    return new AgentClient(address, createAgentStub(address));
  }

  startRun(
    request: RunRequest,
    listener: StreamListener<RunFrame>,
  ): StreamHandle {
    return this.readSharedStream(stub => stub.run(request), listener);
  }

  resumeRun(
    request: ResumeRequest,
    listener: StreamListener<RunFrame>,
  ): StreamHandle {
    const fresh = createAgentStub(this.address);
    const handle = readStream(() => fresh.resume(request), {
      receiveMessage: frame => listener.receiveMessage(frame),
      handleLoss: reason => {
        fresh.close();
        listener.handleLoss(reason);
      },
    });
    return {
      ...handle,
      cancel: () => {
        handle.cancel();
        fresh.close();
      },
    };
  }

  async revokeRun(
    request: RevokeRequest,
  ): Promise<Result<RevokeReply, ServiceError>> {
    const fresh = createAgentStub(this.address);
    const reply = await callUnary<RevokeReply>((metadata, options, done) =>
      fresh.revoke(request, metadata, options, done),
    );
    fresh.close();
    return reply;
  }

  acknowledgeRun(requestId: string, cancel: boolean, run?: EntryAttempt): void {
    const request = {requestId, cancel, ...run};
    void callUnary<AcknowledgeReply>((metadata, options, done) =>
      this.client.acknowledge(request, metadata, options, done),
    );
  }

  async listAnswers(
    prefix: string,
  ): Promise<Result<KeptAnswer[], ServiceError>> {
    const reply = await callUnary<{answers: KeptAnswer[]}>(
      (metadata, options, done) =>
        this.client.listAnswers({prefix}, metadata, options, done),
    );
    return reply.map(found => found.answers);
  }

  fetchRules(
    newerThan: number,
  ): Promise<Result<FetchRulesReply, ServiceError>> {
    return callUnary<FetchRulesReply>((metadata, options, done) =>
      this.client.fetchRules({newerThan}, metadata, options, done),
    );
  }

  fetchWeights(
    request: FetchWeightsRequest,
  ): Promise<Result<WeightsChunk, ServiceError>> {
    return new Promise(resolve => {
      const missing = createError('not-found', 'the agent has no such weights');
      readStream(() => this.client.fetchWeights(request), {
        receiveMessage: chunk => resolve(ok(chunk)),
        handleLoss: () => resolve(err(missing)),
      });
    });
  }

  offerRules(
    request: OfferRulesRequest,
  ): Promise<Result<OfferRulesReply, ServiceError>> {
    return callUnary<OfferRulesReply>((metadata, options, done) =>
      this.client.offerRules(request, metadata, options, done),
    );
  }

  watch(
    request: WatchRequest,
    listener: StreamListener<AgentHeartbeat>,
  ): StreamHandle {
    return this.readSharedStream(stub => stub.watch(request), listener);
  }

  /** Follows a stream; once it is silent, later calls connect anew. */
  private readSharedStream<T>(
    start: (stub: AgentNodeClient) => ClientReadableStream<T>,
    listener: StreamListener<T>,
  ): StreamHandle {
    const stub = this.client;
    return readStream(() => start(stub), {
      receiveMessage: message => listener.receiveMessage(message),
      handleLoss: reason => {
        if (reason === SILENCE_REASON) this.replaceStub(stub);
        listener.handleLoss(reason);
      },
    });
  }

  private replaceStub(silent: AgentNodeClient): void {
    if (this.client !== silent) return;
    this.client = createAgentStub(this.address);
    silent.close();
  }

  close(): void {
    this.client.close();
  }
}

function createAgentStub(address: string): AgentNodeClient {
  return new AgentNodeClient(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
}

/** Options of a unary call: its deadline in ms since the epoch. */
export interface UnaryOptions {
  readonly deadline: number;
}

type UnaryDone<T> = (error: Error | null, reply: T) => void;

/** Makes a unary call with a deadline. */
export function callUnary<T>(
  start: (
    metadata: Metadata,
    options: UnaryOptions,
    done: UnaryDone<T>,
  ) => void,
  timeoutMs = UNARY_TIMEOUT_MS,
): Promise<Result<T, ServiceError>> {
  return new Promise(resolve => {
    const deadline = Date.now() + timeoutMs;
    const fail = (error: unknown) =>
      resolve(err(createError('agent-lost', describeError(error))));
    try {
      start(new Metadata(), {deadline}, (error, reply) => {
        if (error === null) resolve(ok(reply));
        else fail(error);
      });
    } catch (error) {
      // A client that has been closed throws instead of calling back.
      fail(error);
    }
  });
}

/** Follows a stream until it ends, fails or goes silent. */
export function readStream<T>(
  start: () => ClientReadableStream<T>,
  listener: StreamListener<T>,
): StreamHandle {
  try {
    return readOpenStream(start(), listener);
  } catch (error) {
    // A client that has been closed throws instead of failing the stream.
    const timer = setImmediate(() => listener.handleLoss(describeError(error)));
    return {...CLOSED_STREAM, cancel: () => clearImmediate(timer)};
  }
}

function readOpenStream<T>(
  stream: ClientReadableStream<T>,
  listener: StreamListener<T>,
): StreamHandle {
  let isOver = false;
  const endStream = (reason: string | undefined) => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    stream.cancel();
    if (reason !== undefined) listener.handleLoss(reason);
  };
  const notifySilence = () => endStream(SILENCE_REASON);
  let timer = setTimeout(notifySilence, SILENCE_TIMEOUT_MS);
  stream.on('data', (message: T) => {
    if (isOver) return;
    if (!stream.isPaused()) timer.refresh();
    listener.receiveMessage(message);
  });
  stream.on('end', () => endStream('ended'));
  stream.on('error', (error: Error) => endStream(error.message));
  return {
    cancel: () => endStream(undefined),
    pause: () => {
      if (isOver) return;
      stream.pause();
      clearTimeout(timer);
    },
    resume: () => {
      if (isOver || !stream.isPaused()) return;
      timer = setTimeout(notifySilence, SILENCE_TIMEOUT_MS);
      stream.resume();
    },
  };
}
