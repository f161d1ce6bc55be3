/** What the runs of an agent need of the rest of the agent. */
import type {
  Clock,
  IdempotencyTable,
  Quarantine,
  RunTable,
  Scheduler,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {EndpointUnit} from './endpoint_unit';

/** What the runs of an agent are built from. */
export interface AgentRunsOptions {
  readonly incarnation: string;
  readonly units: ReadonlyMap<string, EndpointUnit>;
  readonly quarantine: Quarantine;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  /** Table to use in place of an empty one. */
  readonly table?: RunTable;
  readonly log: EventLog;
  readonly metrics: Metrics;
  getRulesRevision(): number;
  /** Returns the names among which a service's keys have their homes. */
  getHomes(service: string): readonly string[];
  /** Key memory to use in place of an empty one. */
  readonly keyTable?: IdempotencyTable;
}
