import type {
  Clock,
  IdempotencyTable,
  PauseDetector,
  Quarantine,
  RunTable,
  Scheduler,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {ManagedEndpoint} from './managed_endpoint';

/** Dependencies of `AgentRuns`. */
export interface AgentRunsOptions {
  readonly incarnation: string;
  readonly endpoints: ReadonlyMap<string, ManagedEndpoint>;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  /** Replaces the empty run table, in tests. */
  readonly table?: RunTable;
  /** Replaces the default detector, in tests. */
  readonly pauseDetector?: PauseDetector;
  readonly log: EventLog;
  readonly metrics: Metrics;
  getRulesRevision(): number;
  /** Returns the endpoints that may own idempotency keys of a service. */
  getKeyOwners(service: string): readonly string[];
  /** Replaces the empty table of idempotency keys, in tests. */
  readonly keyTable?: IdempotencyTable;
}
