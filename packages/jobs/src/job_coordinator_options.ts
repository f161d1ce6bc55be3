/** What a coordinator of batch jobs needs from the node that it runs on. */
import type {CrashWatch} from '@sassafrasspan/calls';
import type {
  BoundsFinder,
  Clock,
  EndpointEntry,
  RouteBurnTracker,
  SchedulingPolicy,
  ServiceError,
} from '@sassafrasspan/core';
import type {PeerClient} from '@sassafrasspan/peers';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import type {JobStore} from './job_store';
import type {ScoringCaller} from './scoring_caller';

export interface JobCoordinatorOptions {
  readonly name: string;
  readonly epoch: number;
  readonly incarnation: string;
  readonly jobStore: JobStore;
  readonly peers: PeerClient;
  readonly scoringCaller: ScoringCaller;
  /** Returns the time and attempt limits of a job's route. */
  readonly findBounds: BoundsFinder;
  /** Returns how long after acceptance results can be read, in ms. */
  readonly findRetentionMs: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  readonly policy: SchedulingPolicy;
  readonly crashes: CrashWatch;
  /** Returns a registered endpoint that takes work. */
  readonly findEndpoint: (id: string) => EndpointEntry | undefined;
  /** Reads from the store whether this is still the coordinator's epoch; fails with
   * `not-home` if a later one has begun. */
  readonly verifyEpoch: () => Promise<Result<void, ServiceError>>;
  /** Called when a later coordinator has taken over. */
  readonly onSuperseded: (detail: string) => void;
}
