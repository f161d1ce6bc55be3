/** The limits that a node knows, with a log event for each change. */
import {
  Clock,
  EndpointLimits,
  LimitChange,
  LimitObservation,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';

export interface LoggedLimitsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** An answer of an endpoint, as far as its limit is concerned. */
export interface LimitedAnswer {
  readonly endpointId: string;
  /** Requests per second; undefined if the answer states no limit. */
  readonly limit: number | undefined;
  readonly sentAtMs: number;
}

/** What an answer has shown, and what that changes. */
export interface RecordedAnswer {
  readonly observation: LimitObservation;
  readonly change: LimitChange;
}

export class LoggedLimits {
  private readonly limits = EndpointLimits.create();

  private constructor(private readonly options: LoggedLimitsOptions) {}

  static create(options: LoggedLimitsOptions): LoggedLimits {
    return new LoggedLimits(options);
  }

  /** Returns the requests per second that an endpoint states, if it states any. */
  findLimit(endpointId: string): number | undefined {
    return this.limits.find(endpointId)?.perSecond;
  }

  list(): LimitObservation[] {
    return this.limits.list();
  }

  /** Records the limit in an answer to this node, or that it states none. */
  recordAnswer(answer: LimitedAnswer): RecordedAnswer {
    const {endpointId, limit: perSecond, sentAtMs} = answer;
    const {clock, metrics} = this.options;
    const isLimited = perSecond !== undefined;
    if (isLimited) metrics.addCount('limited_answers_total');
    const atMs = isLimited ? clock.readMonotonicMs() : sentAtMs;
    const observation = {endpointId, perSecond, atMs};
    return {observation, change: this.recordObservation(observation)};
  }

  /** Records what this node or another one has observed. */
  recordObservation(observation: LimitObservation): LimitChange {
    const {log} = this.options;
    const {endpointId: endpoint, perSecond} = observation;
    const change = this.limits.recordObservation(observation);
    if (change === 'ended') log.writeEvent('endpoint-unlimited', {endpoint});
    else if (change !== 'unchanged') {
      log.writeEvent('endpoint-limited', {endpoint, perSecond});
    }
    return change;
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(endpointIds: ReadonlySet<string>): void {
    this.limits.removeUnregistered(endpointIds);
  }
}
