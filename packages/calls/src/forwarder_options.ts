/** Options and result of forwarding calls to endpoints. */
import type {
  Clock,
  EndpointDirectory,
  EndpointSelector,
  RandomSource,
  RouteBurnTracker,
  ServiceError,
} from '@sassafrasspan/core';
import type {RateGate} from '@sassafrasspan/limits';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {Result} from 'neverthrow';
import type {CrashWatch} from './crash_watch';
import type {EndpointAnswer, EndpointCaller, StartRecorder} from './call_types';

export interface CallForwarderOptions {
  readonly endpoints: EndpointDirectory;
  readonly pool: EndpointSelector;
  readonly caller: EndpointCaller;
  /** Limits that endpoints state. */
  readonly rateGate: RateGate;
  /** Requests that crash the endpoints that run them; undefined if no call of this
   * forwarder does. */
  readonly crashes?: Pick<
    CrashWatch,
    'decide' | 'claimTrial' | 'recordAttempt'
  >;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly burn: RouteBurnTracker;
  /** Undefined if starts of calls are not counted. */
  readonly starts?: StartRecorder;
}

export type CallResult = Result<EndpointAnswer, ServiceError>;
