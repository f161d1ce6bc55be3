/** Interfaces between an agent and its local engine. */
import type {
  EngineState,
  RunEnd,
  RunOrder,
  ServiceError,
  TextEvent,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** What an engine states of itself in its reply to a run. */
export interface EngineReply {
  /** Requests per second that it takes from all nodes together; undefined if it
   * states no limit. */
  readonly limit: number | undefined;
  readonly isLeaving: boolean;
}

/** Receives the events and the end of a run. */
export interface RunListener {
  /** Called once if the engine replies, with what it states of itself. */
  onReply(reply: EngineReply): void;
  onEvent(event: Omit<TextEvent, 'software'>): void;
  /** Called once, after the last event. */
  onEnd(end: RunEnd, detail: string): void;
}

/** Runs items at the engine. */
export interface ItemRunner {
  /** Starts a run; the returned function cancels it. */
  startRun(order: RunOrder, listener: RunListener): () => void;
}

/** The engine's state and the number of orders that it has accepted. */
export interface EngineReport extends EngineState {
  /** Number of orders accepted since the engine started. */
  readonly orderSequence: number;
}

/** An order to load another weight version of a model. */
export interface VersionOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
  /** Name of the agent's VM, the only one that gives orders to the engine. */
  readonly holder: string;
  readonly fencingNumber: number;
  /**
   * Whether active runs finish with the previous version before the load;
   * otherwise they continue with the new one.
   */
  readonly finishesRuns: boolean;
  /** Number of accepted orders that the engine must report, else `conflict`. */
  readonly orderSequence: number;
}

/** The engine's answer to an order; `holds`: it already has the version. */
export type OrderAnswer = 'accepted' | 'holds' | 'conflict' | 'refused';

/** Reads the engine's state and sends it orders. */
export interface EngineControl {
  readReport(): Promise<Result<EngineReport, ServiceError>>;
  orderVersion(order: VersionOrder): Promise<Result<OrderAnswer, ServiceError>>;
}
