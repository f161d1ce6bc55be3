/**
 * The interface through which an agent drives an endpoint. Each kind of
 * endpoint has a package that implements it.
 */
import type {Result} from 'neverthrow';
import type {ServiceError} from '../errors/error_kinds';
import type {AnswerHead, EndReport, HeaderField} from './answer_buffer';

/** A completion request for a model engine. */
export interface CompletionWork {
  readonly type: 'completion';
  /** OpenAI-compatible request body as JSON. */
  readonly bodyJson: string;
}

/** An HTTP call to a plain service. */
export interface HttpWork {
  readonly type: 'http';
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** The work that a request asks for. */
export type Work = CompletionWork | HttpWork;

/** A run as the agent passes it to an endpoint. */
export interface EndpointRun {
  readonly requestId: string;
  /** Lower numbers are served first; 0 is the most urgent. */
  readonly priority: number;
  readonly budgetMs: number;
  readonly work: Work;
}

/** The failure of a run at an endpoint. */
export interface RunFailure {
  readonly error: ServiceError;
  /** Whether the endpoint closed the connection unexpectedly, as in a crash. */
  readonly isCrash: boolean;
}

/** Receives the answer of a run as the endpoint produces it. */
export interface RunSink {
  setHead(head: AnswerHead): void;
  appendData(data: Uint8Array, weightVersion: number, tokens: number): void;
  finish(report: EndReport): void;
  fail(failure: RunFailure): void;
}

/** A run in progress. */
export interface RunHandle {
  /** Stops the run at the endpoint. */
  cancel(): void;
}

/** Load that an endpoint reports; it lags behind the actual load. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** Share of the KV cache in use, in thousandths. */
  readonly kvUsePermille: number;
  /** Loaded weight version; undefined if the endpoint does not report it. */
  readonly weightVersion: number | undefined;
  readonly tokensPerSecond: number;
}

/** An order to an engine to stage or activate a weight version. */
export interface EngineOrder {
  readonly kind: 'stage' | 'activate';
  readonly version: number;
  /** URL from which the engine downloads the weights; used by `stage`. */
  readonly source: string;
  /** Fencing number of the agent that sends the order. */
  readonly fencing: number;
}

/** Drives one endpoint on behalf of its agent. */
export interface EndpointDriver {
  startRun(run: EndpointRun, sink: RunSink): RunHandle;
  readLoad(): Promise<Result<EndpointLoad, ServiceError>>;
  /** Sends an order; fails with `conflict` if its fencing number is outdated. */
  sendOrder(order: EngineOrder): Promise<Result<void, ServiceError>>;
}
