/**
 * An entry's gRPC connection to one agent.
 *
 * A stream that receives no message, not even an `Alive` frame, within the
 * silence timeout is considered lost, even if its connection seems to be open.
 * Calls that resume or revoke a run use a new connection.
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

/** Interval of the `Alive` frames of an idle run. */
export const ALIVE_INTERVAL_MS = 500;
/** Time without a message after which a stream is considered lost. */
export const SILENCE_TIMEOUT_MS = 2_000;
const SILENCE_REASON = 'silent';
const UNARY_TIMEOUT_MS = 1_500;

/** Receives the messages of a stream until it ends or is lost. */
export interface StreamListener<T> {
  receiveMessage(message: T): void;
  /** Called once when the stream ends or is lost, unless it was cancelled. */
  handleLoss(reason: string): void;
}

/** Controls an open stream. */
export interface StreamHandle {
  cancel(): void;
  /** Stops reading messages; the silence timeout is off while paused. */
  pause(): void;
  /** Continues reading messages. */
  resume(): void;
}

/** Handle of a stream that could not be opened. */
export const CLOSED_STREAM: StreamHandle = {
  cancel: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** One attempt of a run and the entry that receives its answer. */
export interface EntryAttempt {
  readonly attempt: number;
  readonly entry: string;
}

/** Calls from an entry to an agent. */
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
  /** Sent once, without waiting for a reply or reporting an error. */
  acknowledgeRun(requestId: string, cancel: boolean, run?: EntryAttempt): void;
  listAnswers(prefix: string): Promise<Result<KeptAnswer[], ServiceError>>;
  fetchRules(newerThan: number): Promise<Result<FetchRulesReply, ServiceError>>;
  /** Fetches one block of weights that the agent has staged. */
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

/** gRPC client of one agent. */
export class AgentClient implements AgentPeer {
  private constructor(
    readonly address: string,
    private client: AgentNodeClient,
  ) {}

  /** `address` is `host:port`; connects on the first call. */
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
    const ownStub = createAgentStub(this.address);
    const handle = readStream(() => ownStub.resume(request), {
      receiveMessage: frame => listener.receiveMessage(frame),
      handleLoss: reason => {
        ownStub.close();
        listener.handleLoss(reason);
      },
    });
    return {
      ...handle,
      cancel: () => {
        handle.cancel();
        ownStub.close();
      },
    };
  }

  async revokeRun(
    request: RevokeRequest,
  ): Promise<Result<RevokeReply, ServiceError>> {
    const ownStub = createAgentStub(this.address);
    const reply = await callUnary<RevokeReply>((metadata, options, done) =>
      ownStub.revoke(request, metadata, options, done),
    );
    ownStub.close();
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
    return reply.map(listed => listed.answers);
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
      const notFound = createError(
        'not-found',
        'the agent has no such weights',
      );
      readStream(() => this.client.fetchWeights(request), {
        receiveMessage: chunk => resolve(ok(chunk)),
        handleLoss: () => resolve(err(notFound)),
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

  /**
   * Reads a stream on the shared connection. If it goes silent, the connection
   * is replaced for later calls.
   */
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

  private replaceStub(silentStub: AgentNodeClient): void {
    if (this.client !== silentStub) return;
    this.client = createAgentStub(this.address);
    silentStub.close();
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

/** Options of a unary call; the deadline is in ms since the Unix epoch. */
export interface UnaryOptions {
  readonly deadline: number;
}

type UnaryDone<T> = (error: Error | null, reply: T) => void;

/** Makes a unary call; any failure is an `agent-lost` error. */
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
      // A closed client throws instead of calling back.
      fail(error);
    }
  });
}

/** Reads a stream until it ends, fails or goes silent. */
export function readStream<T>(
  start: () => ClientReadableStream<T>,
  listener: StreamListener<T>,
): StreamHandle {
  try {
    return readOpenStream(start(), listener);
  } catch (error) {
    // A closed client throws instead of emitting an error on the stream.
    const timer = setImmediate(() => listener.handleLoss(describeError(error)));
    return {...CLOSED_STREAM, cancel: () => clearImmediate(timer)};
  }
}

function readOpenStream<T>(
  stream: ClientReadableStream<T>,
  listener: StreamListener<T>,
): StreamHandle {
  let isEnded = false;
  const endStream = (reason: string | undefined) => {
    if (isEnded) return;
    isEnded = true;
    clearTimeout(timer);
    stream.cancel();
    if (reason !== undefined) listener.handleLoss(reason);
  };
  const handleSilence = () => endStream(SILENCE_REASON);
  let timer = setTimeout(handleSilence, SILENCE_TIMEOUT_MS);
  stream.on('data', (message: T) => {
    if (isEnded) return;
    if (!stream.isPaused()) timer.refresh();
    listener.receiveMessage(message);
  });
  stream.on('end', () => endStream('ended'));
  stream.on('error', (error: Error) => endStream(error.message));
  return {
    cancel: () => endStream(undefined),
    pause: () => {
      if (isEnded) return;
      stream.pause();
      clearTimeout(timer);
    },
    resume: () => {
      if (isEnded || !stream.isPaused()) return;
      timer = setTimeout(handleSilence, SILENCE_TIMEOUT_MS);
      stream.resume();
    },
  };
}
