/** What an agent needs of the engine beside it. */
import type {
  EngineState,
  RunEnd,
  RunOrder,
  ServiceError,
  TextEvent,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** Hears of a run at the engine. */
export interface RunListener {
  onEvent(event: TextEvent): void;
  /** Called once, last. */
  onEnd(end: RunEnd, detail: string): void;
}

/** Runs items at the engine. */
export interface ItemRunner {
  /** Starts a run; the returned function breaks it off. */
  startRun(order: RunOrder, listener: RunListener): () => void;
}

/** The engine's state with what orders need. */
export interface EngineReport extends EngineState {
  /** Orders that the engine has accepted in this life. */
  readonly orderSequence: number;
}

/** An order to change the version of a model. */
export interface VersionOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fencingNumber: number;
  /** Whether runs end under the version before; else they go on. */
  readonly finishesRuns: boolean;
  /** The engine refuses the order unless it has accepted as many. */
  readonly orderSequence: number;
}

/** What the engine said to an order. */
export type OrderAnswer = 'accepted' | 'holds' | 'conflict' | 'refused';

/** Reads the engine's state and gives it orders. */
export interface EngineControl {
  readReport(): Promise<Result<EngineReport, ServiceError>>;
  orderVersion(order: VersionOrder): Promise<Result<OrderAnswer, ServiceError>>;
}
