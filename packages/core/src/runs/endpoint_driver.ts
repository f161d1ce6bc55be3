/**
 * What an agent needs of an endpoint, whatever its kind. Each kind of
 * endpoint has a package that implements this interface.
 */
import type {Result} from 'neverthrow';
import type {ServiceError} from '../errors/error_kinds';
import type {AnswerHead, EndReport, HeaderField} from './answer_buffer';

/** A completion for a model engine. */
export interface CompletionWork {
  readonly type: 'completion';
  /** OpenAI-compatible request as JSON. */
  readonly bodyJson: string;
}

/** A call of a plain service. */
export interface HttpWork {
  readonly type: 'http';
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** The work of a request. */
export type Work = CompletionWork | HttpWork;

/** A run as it is handed to an endpoint. */
export interface EndpointRun {
  readonly requestId: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly budgetMs: number;
  readonly work: Work;
}

/** Why a run at an endpoint failed. */
export interface RunFailure {
  readonly error: ServiceError;
  /** Whether the endpoint broke off the connection, as in a crash. */
  readonly isCrash: boolean;
}

/** Takes the answer of a run as it arrives. */
export interface RunSink {
  setHead(head: AnswerHead): void;
  appendData(data: Uint8Array, weightVersion: number, tokens: number): void;
  finish(report: EndReport): void;
  fail(failure: RunFailure): void;
}

/** A run that is under way. */
export interface RunHandle {
  /** Stops the run at the endpoint. */
  cancel(): void;
}

/** Load of an endpoint as it reports it, with a lag. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** KV-cache use in thousandths. */
  readonly kvUsePermille: number;
  /** Weight version; undefined when the endpoint does not know it. */
  readonly weightVersion: number | undefined;
  readonly tokensPerSecond: number;
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: 'stage' | 'activate';
  readonly version: number;
  /** URL from which the engine takes the weights, for `stage`. */
  readonly source: string;
  /** Fencing number of the agent that orders. */
  readonly fencing: number;
}

/** An endpoint as its agent drives it. */
export interface EndpointDriver {
  startRun(run: EndpointRun, sink: RunSink): RunHandle;
  readLoad(): Promise<Result<EndpointLoad, ServiceError>>;
  /** Sends an order; `conflict` when the fencing number is too old. */
  sendOrder(order: EngineOrder): Promise<Result<void, ServiceError>>;
}
