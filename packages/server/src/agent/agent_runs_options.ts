/** What the runs of an agent need of the rest of the agent. */
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

/** What the runs of an agent are built from. */
export interface AgentRunsOptions {
  readonly incarnation: string;
  readonly endpoints: ReadonlyMap<string, ManagedEndpoint>;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  /** Table to use in place of an empty one. */
  readonly table?: RunTable;
  /** Detector to use in place of a new one. */
  readonly pauseDetector?: PauseDetector;
  readonly log: EventLog;
  readonly metrics: Metrics;
  getRulesRevision(): number;
  /** Returns the names among which a service's keys have their homes. */
  getKeyOwners(service: string): readonly string[];
  /** Key memory to use in place of an empty one. */
  readonly keyTable?: IdempotencyTable;
}
